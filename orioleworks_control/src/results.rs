//! First results of orders, stored so that a resent order gets the same reply.

use std::collections::{HashMap, VecDeque};

use orioleworks_proto::inner;

/// Number of order results that each [`Results`] stores for resends.
pub const MAX_ORDER_RESULTS: usize = 10_000;

/// The newest results of one kind of orders.
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

    /// Stores the result of an order that has none yet, and evicts the oldest one if there are too many.
    pub(crate) fn insert(&mut self, order_id: String, reply: inner::ProposeReply) {
        self.by_id.insert(order_id.clone(), reply);
        self.oldest_first.push_back(order_id);
        if self.oldest_first.len() > MAX_ORDER_RESULTS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.by_id.remove(&oldest);
        }
    }

    /// Results for a snapshot, the oldest first.
    pub(crate) fn to_messages(&self) -> impl Iterator<Item = inner::OrderResult> {
        self.oldest_first.iter().map(|order_id| inner::OrderResult {
            order_id: order_id.clone(),
            reply: self.by_id.get(order_id).cloned(),
        })
    }

    /// Restores the results of a snapshot.
    pub(crate) fn from_messages(messages: Vec<inner::OrderResult>) -> Self {
        let mut results = Self::default();
        for message in messages {
            results.insert(message.order_id, message.reply.unwrap_or_default());
        }
        results
    }
}
