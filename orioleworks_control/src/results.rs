//! First results of orders, kept so that a resent order gets the same answer.

use std::collections::{HashMap, VecDeque};

use orioleworks_proto::inner;

/// Order results kept for resends.
pub const MAX_ORDER_RESULTS: usize = 10_000;

/// The newest results of one group of orders.
#[derive(Debug, Default)]
pub(crate) struct Results {
    by_id: HashMap<String, inner::ProposeReply>,
    oldest_first: VecDeque<String>,
}

impl Results {
    /// First result of an order.
    pub(crate) fn get(&self, order_id: &str) -> Option<&inner::ProposeReply> {
        self.by_id.get(order_id)
    }

    /// Keeps the result of an order that has none yet.
    pub(crate) fn keep(&mut self, order_id: String, reply: inner::ProposeReply) {
        self.by_id.insert(order_id.clone(), reply);
        self.oldest_first.push_back(order_id);
        if self.oldest_first.len() > MAX_ORDER_RESULTS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// Results for a snapshot, the oldest first.
    pub(crate) fn messages(&self) -> impl Iterator<Item = inner::OrderResult> {
        self.oldest_first.iter().map(|order_id| inner::OrderResult {
            order_id: order_id.clone(),
            reply: self.by_id.get(order_id).cloned(),
        })
    }

    /// Results of a snapshot.
    pub(crate) fn from_messages(messages: Vec<inner::OrderResult>) -> Self {
        let mut results = Self::default();
        for message in messages {
            results.keep(message.order_id, message.reply.unwrap_or_default());
        }
        results
    }
}
