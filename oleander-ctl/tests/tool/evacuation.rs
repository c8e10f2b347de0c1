//! Tests of the evacuation of an availability zone by an edit of the section `upstreams`.

use oleander_config::model::Section;
use oleander_config::sections::SectionText;
use oleander_config::sections::parse_sections;
use oleander_ctl::errors::Exit;
use oleander_standin::store::Store;

use crate::support::publish_example;
use crate::support::run;

/// Returns the names of the instances that leave according to the store.
async fn leaving_instances(store: &Store) -> Vec<String> {
    let shown = run(store, &["show", "upstreams"]).await.unwrap();
    let text = SectionText::new(Section::Upstreams, &shown.text);
    let databases = parse_sections(&[text]).unwrap().upstreams;
    let instances = databases.into_iter().flat_map(|database| database.instances);
    instances.filter(|instance| instance.leaving).map(|instance| instance.name).collect()
}

/// Guards against an evacuation that misses an instance of the zone, or marks one of another zone.
#[tokio::test]
async fn the_instances_of_an_evacuated_zone_leave_until_its_end() {
    let store = Store::start().await.unwrap();
    publish_example(&store, "bakery.yaml").await;
    run(&store, &["evacuate", "coast-1"]).await.unwrap();
    assert_eq!(leaving_instances(&store).await, ["orders-a", "billing-b"]);
    run(&store, &["evacuate", "coast-1", "--end"]).await.unwrap();
    assert!(leaving_instances(&store).await.is_empty());
    let error = run(&store, &["evacuate", "coast-9"]).await.unwrap_err();
    assert_eq!(error.exit_code(), Exit::Usage);
}
