//! The bars and labels of the plot of the four measures.

use oleander_core::time::Span;
use oleander_load::measures::figures::Figures;
use oleander_load::measures::figures::Gap;
use oleander_load::measures::figures::Measure;
use oleander_load::plots;
use strum::IntoEnumIterator as _;

fn runs() -> [Figures; 3] {
    let base = Figures {
        name: "steady".to_owned(),
        replica_share: 0.5,
        gap: Gap::NoFailure,
        worst_served: 0.97,
        wrongful_share: 0.002,
    };
    let lasted = Gap::Lasted(Span::from_millis(1_250));
    [
        Figures { name: "primary-only <reads>".to_owned(), replica_share: 0.0, ..base.clone() },
        Figures { name: "primary cut off".to_owned(), gap: lasted, ..base.clone() },
        base,
    ]
}

/// Returns the widths of the bars in drawing order, in pixels.
fn bar_widths(document: &str) -> Vec<i32> {
    let plotters::style::RGBColor(red, green, blue) = plots::BAR_COLOR;
    let fill = format!("fill=\"#{red:02X}{green:02X}{blue:02X}\"");
    let rectangles = document.lines().filter(|line| line.contains("<rect") && line.contains(&fill));
    let width = |line: &str| line.split("width=\"").nth(1)?.split('"').next()?.parse().ok();
    rectangles.map(|line| width(line).expect("a width")).collect()
}

#[test]
fn bar_lengths_are_proportional_to_values() {
    let document = plots::svg(&runs()).expect("a plot");
    let whole = plots::BAR_WIDTH;
    let worst = whole * 97 / 100;
    let expected = [0, whole / 2, whole / 2, whole, worst, worst, worst, whole, whole, whole];
    assert_eq!(bar_widths(&document), expected);
}

#[test]
fn plot_labels_all_runs_measures_and_values() {
    let document = plots::svg(&runs()).expect("a plot");
    let measures = Measure::iter().map(|measure| measure.to_string());
    let names = ["steady", "primary-only &lt;reads&gt;", "primary cut off"].map(str::to_owned);
    let figures = ["50.00%", "no failure", "1.25 s", "97.00%", "0.20%"].map(str::to_owned);
    for label in measures.chain(names).chain(figures) {
        assert!(document.contains(&label), "{label}");
    }
}
