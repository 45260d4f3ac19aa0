//! Explanations for operators of why a job waits, and of what organisations use.

use std::collections::BTreeMap;
use std::rc::Rc;

use corianderfork_adapter::caller;
use corianderfork_jobs::JobId;
use corianderfork_jobs::pool::Use;
use serde_json::json;

use crate::clock;
use crate::node::Node;
use crate::server::HttpResponse;

/// Returns the state of a job and its reason if this daemon owns its pool; otherwise the
/// owners of all pools.
pub fn explain(node: &Rc<Node>, id: &str) -> HttpResponse {
    let Ok(id) = id.parse::<JobId>() else {
        return HttpResponse::new(400, caller::error("a job's id has 16 hexadecimal digits"));
    };
    let now = clock::now();
    let owners = node.owners.borrow();
    let found = owners.iter().find_map(|(pool, owner)| {
        Some((pool, owner.fence(), owner.pool.borrow().explain(now, id)?))
    });
    let (status, body) = match found {
        Some((pool, fence, job)) => (200, json!({ "pool": pool, "fence": fence, "job": job })),
        None => {
            let table = node.table.borrow();
            let holders: BTreeMap<&str, &str> = table
                .duties
                .iter()
                .map(|(duty, record)| (duty.as_str(), record.holder.name.as_str()))
                .collect();
            let error = "this entry VM doesn't own the job's pool, or there is no such job";
            (404, json!({ "error": error, "duties": holders }))
        }
    };
    HttpResponse::new(status, body.to_string().into_bytes())
}

/// Returns what each organisation uses, by the pools that this daemon owns.
pub fn uses(node: &Rc<Node>) -> BTreeMap<String, Vec<Use>> {
    let owners = node.owners.borrow();
    owners.iter().map(|(pool, owner)| (pool.clone(), owner.pool.borrow().uses())).collect()
}

/// Returns what each organisation uses of its limit in the pools that this daemon owns.
pub fn organisations(node: &Rc<Node>) -> HttpResponse {
    let pools = uses(node);
    let version = node.config.borrow().as_ref().map(|config| config.version);
    let body = json!({ "config": version, "pools": pools });
    HttpResponse::new(200, body.to_string().into_bytes())
}
