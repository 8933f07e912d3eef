//! Look-up table from client address to the index of a region order.

use ipnet::IpNet;
use std::net::IpAddr;

/// Starts in one node; a node of IPv4 starts fills one cache line.
const NODE: usize = 16;
/// Bits of an IPv6 address below the usual prefixes.
const LOW_BITS: u32 = 64;

/// Index of a region order; [`NONE`] for addresses outside all blocks.
pub type Order = u32;

/// Order of addresses outside all blocks.
pub const NONE: Order = Order::MAX;

/// Ranges of IPv4 and IPv6 addresses.
#[derive(Debug)]
pub struct Table {
    v4: Ranges<u32>,
    v6: Wide,
}

/// Ranges of IPv6 addresses, with half the memory if no prefix is longer than 64 bits.
#[derive(Debug)]
enum Wide {
    Short(Ranges<u64>),
    Long(Ranges<u128>),
}

/// Sorted starts of ranges, where each range ends before the next one starts.
///
/// The starts form a search tree with [`NODE`] children, whose upper levels stay in the cache
/// however the blocks are distributed, so that a look-up waits for few reads of main memory.
#[derive(Debug)]
struct Ranges<K> {
    /// First starts of the nodes of the level below, top first.
    levels: Vec<Level<K>>,
    leaves: Vec<Leaf<K>>,
}

#[derive(Debug)]
struct Level<K> {
    /// Padded with the last start.
    nodes: Vec<Node<K>>,
    /// Starts without the padding.
    len: usize,
}

/// Starts in their own cache lines.
#[derive(Debug)]
#[repr(align(64))]
struct Node<K>([K; NODE]);

/// Starts with their orders close by, padded with the last one.
#[derive(Debug)]
struct Leaf<K> {
    starts: Node<K>,
    orders: [Order; NODE],
}

/// Starts and orders while the table is built.
#[derive(Debug, Default)]
struct Draft<K> {
    starts: Vec<K>,
    orders: Vec<Order>,
}

impl Table {
    /// Builds the table; of nested blocks, the one with the longest prefix wins.
    pub fn new<'a>(blocks: impl IntoIterator<Item = (&'a IpNet, Order)>) -> Self {
        let (mut v4, mut v6, mut longest) = (Vec::new(), Vec::new(), 0);
        for (net, order) in blocks {
            match net {
                IpNet::V4(net) => v4.push(Block {
                    start: u32::from(net.network()).into(),
                    end: u32::from(net.broadcast()).into(),
                    order,
                }),
                IpNet::V6(net) => {
                    longest = longest.max(net.prefix_len());
                    v6.push(Block {
                        start: net.network().into(),
                        end: net.broadcast().into(),
                        order,
                    });
                }
            }
        }
        Self {
            v4: Ranges::new(v4, u32::MAX.into(), |start| start as u32),
            v6: if u32::from(longest) <= LOW_BITS {
                Wide::Short(Ranges::new(v6, u128::MAX, |start| {
                    (start >> LOW_BITS) as u64
                }))
            } else {
                Wide::Long(Ranges::new(v6, u128::MAX, |start| start))
            },
        }
    }

    /// Returns the order of an address; an IPv4 address mapped to IPv6 counts as IPv4.
    pub fn get(&self, address: IpAddr) -> Order {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.get(address.into()),
            IpAddr::V6(address) => {
                let address = u128::from(address);
                match &self.v6 {
                    Wide::Short(ranges) => ranges.get((address >> LOW_BITS) as u64),
                    Wide::Long(ranges) => ranges.get(address),
                }
            }
        }
    }

    /// Returns the bytes that the table occupies.
    pub fn bytes(&self) -> usize {
        let wide = match &self.v6 {
            Wide::Short(ranges) => ranges.bytes(),
            Wide::Long(ranges) => ranges.bytes(),
        };
        self.v4.bytes() + wide
    }
}

#[derive(Debug)]
struct Block {
    start: u128,
    end: u128,
    order: Order,
}

impl<K: Copy + Ord> Ranges<K> {
    /// Builds the ranges of blocks that are nested or disjoint; `last` is the highest address.
    fn new(mut blocks: Vec<Block>, last: u128, narrow: impl Fn(u128) -> K) -> Self {
        // An enclosing block comes before the blocks inside it.
        blocks.sort_by_key(|block| (block.start, std::cmp::Reverse(block.end)));
        let mut draft = Draft {
            starts: vec![narrow(0)],
            orders: vec![NONE],
        };
        let mut open = Vec::<Block>::new();
        for block in blocks {
            draft.close(&mut open, block.start, &narrow);
            draft.push(narrow(block.start), block.order);
            open.push(block);
        }
        // A block that ends with the highest address stays open.
        draft.close(&mut open, last, &narrow);
        draft.finish()
    }

    fn get(&self, address: K) -> Order {
        let node = self.levels.iter().fold(0, |node, level| {
            // The first range starts at the lowest address, so the count is at least one.
            let position = node * NODE + count(&level.nodes[node], address) - 1;
            position.min(level.len - 1)
        });
        let leaf = &self.leaves[node];
        leaf.orders[count(&leaf.starts, address) - 1]
    }

    fn bytes(&self) -> usize {
        let levels = self.levels.iter().map(|level| level.nodes.capacity());
        levels.sum::<usize>() * size_of::<Node<K>>() + self.leaves.capacity() * size_of::<Leaf<K>>()
    }
}

impl<K: Copy + Ord> Draft<K> {
    /// Ends the open blocks that lie before `start`; after each, its enclosing block goes on.
    fn close(&mut self, open: &mut Vec<Block>, start: u128, narrow: &impl Fn(u128) -> K) {
        while let Some(block) = open.pop_if(|block| block.end < start) {
            let order = open.last().map_or(NONE, |block| block.order);
            self.push(narrow(block.end + 1), order);
        }
    }

    fn push(&mut self, start: K, order: Order) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.orders.pop();
        }
        if self.orders.last() != Some(&order) {
            self.starts.push(start);
            self.orders.push(order);
        }
    }

    fn finish(self) -> Ranges<K> {
        let nodes = self.starts.chunks(NODE).zip(self.orders.chunks(NODE));
        let leaves = nodes
            .map(|(starts, orders)| Leaf {
                starts: Node(pad(starts)),
                orders: pad(orders),
            })
            .collect::<Vec<_>>();
        let mut levels = Vec::new();
        let mut firsts = leaves
            .iter()
            .map(|leaf| leaf.starts.0[0])
            .collect::<Vec<_>>();
        while firsts.len() > 1 {
            let nodes = firsts
                .chunks(NODE)
                .map(|starts| Node(pad(starts)))
                .collect::<Vec<_>>();
            let above = nodes.iter().map(|node| node.0[0]).collect();
            levels.push(Level {
                nodes,
                len: firsts.len(),
            });
            firsts = above;
        }
        levels.reverse();
        Ranges { levels, leaves }
    }
}

/// Copies up to [`NODE`] values and repeats the last one; there is at least one.
fn pad<T: Copy>(values: &[T]) -> [T; NODE] {
    std::array::from_fn(|n| values[n.min(values.len() - 1)])
}

/// Counts the starts up to an address; without branches, so that the compiler uses vectors.
fn count<K: Copy + Ord>(node: &Node<K>, address: K) -> usize {
    let count = node
        .0
        .iter()
        .map(|start| u8::from(*start <= address))
        .sum::<u8>();
    usize::from(count)
}
