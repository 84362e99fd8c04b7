use super::*;

fn format() -> LoadReportFormat {
    let settings = "report.names=eps,latency_ms,inflight,x0 family-info.report-x0=free_slots";
    LoadReportFormat::from_settings(&SettingsPairs::parse(settings.split(' ')).expect("settings"))
}

#[test]
fn positional_and_named_reports_give_the_same_load() {
    let load = LoadReport {
        error_rate: Some(0.5),
        latency: Some(0.12),
        in_flight: Some(7.0),
        free_slots: Some(0.0),
        ..LoadReport::default()
    };
    assert_eq!(format().parse_positional("0.5,120,7,0"), Ok(load));
    let parsed = format().parse_text("TEXT x0=0, inflight=7,eps=0.5 , latency_ms=120, cpu=0.3");
    assert_eq!(parsed, ParsedLoadReport { load: Some(load), malformed: false }, "an unknown name is ignored");
    let json = r#"{"x0":0,"inflight":7,"eps":0.5,"latency_ms":120,"cpu":[0.3]}"#;
    assert_eq!(format().parse_json(json), ParsedLoadReport { load: Some(load), malformed: false });
    assert!(format().parse_positional("0.5,much").is_err());
}

#[test]
fn malformed_figures_are_ignored_and_the_others_are_used() {
    for text in ["x0=-1", "x0=inf", "x0=NaN", "x0=", "x0", "x0=3,x0=4"] {
        let parsed = format().parse_text(&format!("TEXT inflight=2,{text}"));
        let load = LoadReport { in_flight: Some(2.0), ..LoadReport::default() };
        assert_eq!(parsed, ParsedLoadReport { load: Some(load), malformed: true }, "{text}");
    }
    for json in [r#"{"x0":-1,"inflight":2}"#, r#"{"x0":3,"inflight":2,"x0":3}"#, r#"{"x0":"3","inflight":2}"#]
    {
        let load = LoadReport { in_flight: Some(2.0), ..LoadReport::default() };
        assert_eq!(
            format().parse_json(json),
            ParsedLoadReport { load: Some(load), malformed: true },
            "{json}"
        );
    }
    for json in ["", "[]", "null", r#"{"x0":1e999}"#] {
        assert_eq!(format().parse_json(json), ParsedLoadReport { load: None, malformed: true }, "{json}");
    }
    assert_eq!(format().parse_text("TEXT"), ParsedLoadReport { load: None, malformed: false });
    assert_eq!(format().parse_text("JSON {}"), ParsedLoadReport { load: None, malformed: true });
}

#[test]
fn without_names_in_the_settings_all_figures_are_ignored() {
    let none = LoadReportFormat::from_settings(&SettingsPairs::parse(std::iter::empty()).expect("settings"));
    assert_eq!(none.parse_text("TEXT x0=3"), ParsedLoadReport { load: None, malformed: false });
    assert_eq!(none.parse_positional("1,2"), Ok(LoadReport::default()));
}
