//! Look-up table from a client address to the index of an order of regions.

use ipnet::IpNet;
use std::net::IpAddr;

/// Number of starts in a node; 16 IPv4 addresses fill one cache line.
const NODE_LEN: usize = 16;
/// Bits of an IPv6 address after the longest usual prefix.
const V6_LOW_BITS: u32 = 64;

/// Index of an order of regions; [`NO_ORDER`] for addresses outside all blocks.
pub type OrderIndex = u32;

/// Index for addresses outside all blocks.
pub const NO_ORDER: OrderIndex = OrderIndex::MAX;

/// Order indices of the ranges of IPv4 and IPv6 addresses.
#[derive(Debug)]
pub struct Table {
    v4: Ranges<u32>,
    v6: V6Ranges,
}

/// Ranges of IPv6 addresses; needs half the memory if no prefix is longer than 64 bits.
#[derive(Debug)]
enum V6Ranges {
    Short(Ranges<u64>),
    Long(Ranges<u128>),
}

/// Sorted starts of ranges; each range ends before the next one starts.
///
/// The starts form a search tree with [`NODE_LEN`] children per node. Its upper levels stay in the
/// processor's cache for any distribution of blocks, so a look-up needs few reads of main memory.
#[derive(Debug)]
struct Ranges<K> {
    /// Inner levels from the top; each holds the first start of every node in the level below.
    levels: Vec<Level<K>>,
    leaves: Vec<Leaf<K>>,
}

#[derive(Debug)]
struct Level<K> {
    /// Nodes, the last of which is padded with its last start.
    nodes: Vec<Node<K>>,
    /// Number of starts without the padding.
    len: usize,
}

/// Starts, aligned to cache lines.
#[derive(Debug)]
#[repr(align(64))]
struct Node<K>([K; NODE_LEN]);

/// Starts with their orders in adjacent memory, padded with the last one.
#[derive(Debug)]
struct Leaf<K> {
    starts: Node<K>,
    orders: [OrderIndex; NODE_LEN],
}

/// Builder of [`Ranges`].
#[derive(Debug, Default)]
struct Builder<K> {
    starts: Vec<K>,
    orders: Vec<OrderIndex>,
}

impl Table {
    /// Builds the table; the block with the longest prefix takes precedence over enclosing ones.
    pub fn new<'a>(blocks: impl IntoIterator<Item = (&'a IpNet, OrderIndex)>) -> Self {
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
            v6: if u32::from(longest) <= V6_LOW_BITS {
                V6Ranges::Short(Ranges::new(v6, u128::MAX, |start| {
                    (start >> V6_LOW_BITS) as u64
                }))
            } else {
                V6Ranges::Long(Ranges::new(v6, u128::MAX, |start| start))
            },
        }
    }

    /// Returns the order of an address; an IPv4-mapped IPv6 address counts as IPv4.
    pub fn get(&self, address: IpAddr) -> OrderIndex {
        match address.to_canonical() {
            IpAddr::V4(address) => self.v4.get(address.into()),
            IpAddr::V6(address) => {
                let address = u128::from(address);
                match &self.v6 {
                    V6Ranges::Short(ranges) => ranges.get((address >> V6_LOW_BITS) as u64),
                    V6Ranges::Long(ranges) => ranges.get(address),
                }
            }
        }
    }

    /// Returns the memory that the table occupies, in bytes.
    pub fn bytes(&self) -> usize {
        let v6_bytes = match &self.v6 {
            V6Ranges::Short(ranges) => ranges.bytes(),
            V6Ranges::Long(ranges) => ranges.bytes(),
        };
        self.v4.bytes() + v6_bytes
    }
}

#[derive(Debug)]
struct Block {
    start: u128,
    end: u128,
    order: OrderIndex,
}

impl<K: Copy + Ord> Ranges<K> {
    /// Builds the ranges of blocks, which are nested or disjoint; `last` is the highest address.
    fn new(mut blocks: Vec<Block>, last: u128, truncate: impl Fn(u128) -> K) -> Self {
        // Sorts enclosing blocks before the blocks inside them.
        blocks.sort_by_key(|block| (block.start, std::cmp::Reverse(block.end)));
        let mut builder = Builder {
            starts: vec![truncate(0)],
            orders: vec![NO_ORDER],
        };
        let mut open_blocks = Vec::<Block>::new();
        for block in blocks {
            builder.close(&mut open_blocks, block.start, &truncate);
            builder.push(truncate(block.start), block.order);
            open_blocks.push(block);
        }
        // A block that ends with the highest address needs no range after it and stays open.
        builder.close(&mut open_blocks, last, &truncate);
        builder.build()
    }

    fn get(&self, address: K) -> OrderIndex {
        let node = self.levels.iter().fold(0, |node, level| {
            // The first range starts at the lowest address, so the count is at least one.
            let position = node * NODE_LEN + count_starts(&level.nodes[node], address) - 1;
            position.min(level.len - 1)
        });
        let leaf = &self.leaves[node];
        leaf.orders[count_starts(&leaf.starts, address) - 1]
    }

    fn bytes(&self) -> usize {
        let levels = self.levels.iter().map(|level| level.nodes.capacity());
        levels.sum::<usize>() * size_of::<Node<K>>() + self.leaves.capacity() * size_of::<Leaf<K>>()
    }
}

impl<K: Copy + Ord> Builder<K> {
    /// Ends the open blocks before `start`; each is followed by a range of its enclosing block.
    fn close(&mut self, open_blocks: &mut Vec<Block>, start: u128, truncate: &impl Fn(u128) -> K) {
        while let Some(block) = open_blocks.pop_if(|block| block.end < start) {
            let order = open_blocks.last().map_or(NO_ORDER, |block| block.order);
            self.push(truncate(block.end + 1), order);
        }
    }

    fn push(&mut self, start: K, order: OrderIndex) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.orders.pop();
        }
        if self.orders.last() != Some(&order) {
            self.starts.push(start);
            self.orders.push(order);
        }
    }

    fn build(self) -> Ranges<K> {
        let nodes = self
            .starts
            .chunks(NODE_LEN)
            .zip(self.orders.chunks(NODE_LEN));
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
                .chunks(NODE_LEN)
                .map(|starts| Node(pad(starts)))
                .collect::<Vec<_>>();
            let level_above = nodes.iter().map(|node| node.0[0]).collect();
            levels.push(Level {
                nodes,
                len: firsts.len(),
            });
            firsts = level_above;
        }
        levels.reverse();
        Ranges { levels, leaves }
    }
}

/// Copies up to [`NODE_LEN`] values and repeats the last one; panics if there is none.
fn pad<T: Copy>(values: &[T]) -> [T; NODE_LEN] {
    std::array::from_fn(|n| values[n.min(values.len() - 1)])
}

/// Counts the starts up to an address, without branches so that the compiler can vectorize it.
fn count_starts<K: Copy + Ord>(node: &Node<K>, address: K) -> usize {
    let count = node
        .0
        .iter()
        .map(|start| u8::from(*start <= address))
        .sum::<u8>();
    usize::from(count)
}
