//! Compact table of client address blocks.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::sync::Arc;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};

/// Number of a site, which is an availability zone, within a look-up table.
pub type SiteId = u16;

/// Site of addresses that no block covers.
pub const NO_SITE: SiteId = SiteId::MAX;

/// A block of client addresses and its site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SiteBlock {
    /// Address prefix.
    pub net: IpNet,
    /// Site of the addresses.
    pub site: SiteId,
}

/// A block of IPv4 addresses and its site.
type V4Block = (Ipv4Net, SiteId);

/// A block of IPv6 addresses and its site.
type V6Block = (Ipv6Net, SiteId);

/// One range of addresses within a /16 chunk, from its start to the start of the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ChunkRange {
    start: u16,
    site: SiteId,
}

/// All addresses of one /16.
#[derive(Debug, Clone)]
enum AddressChunk {
    /// One site for the whole chunk.
    Whole(SiteId),
    /// Ranges in order; the first one starts at 0.
    Ranges(Arc<[ChunkRange]>),
}

/// The chunks of one /8.
type ChunkRow = [AddressChunk; 256];

/// Longest-prefix-match table of address blocks, in about four bytes a block.
///
/// IPv4 blocks are flattened into ranges and grouped into chunks by /16; a range takes 16 bits for
/// its start and 16 bits for its site. Successive tables share unchanged chunks, so that a change
/// copies only the affected parts. IPv6 blocks are one sorted list of ranges.
#[derive(Debug, Clone)]
pub struct BlockTable {
    rows: Vec<Arc<ChunkRow>>,
    v6: Arc<[V6Range]>,
}

/// One range of IPv6 addresses, from its start to the start of the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct V6Range {
    start: u128,
    site: SiteId,
}

impl BlockTable {
    /// Creates a table from blocks in any order. Of two blocks with the same prefix the later one
    /// counts.
    pub fn new(blocks: &[SiteBlock]) -> Self {
        let (v4, v6) = split_families(blocks);
        let empty: Arc<ChunkRow> = Arc::new([const { AddressChunk::Whole(NO_SITE) }; 256]);
        let mut table = Self {
            rows: vec![empty; 256],
            v6: flatten_v6(v6),
        };
        table.fill(&v4);
        table
    }

    /// Returns a table with a new content of one /16 chunk. `blocks` are all blocks that overlap
    /// the chunk.
    #[must_use]
    pub fn with_chunk(&self, chunk: u16, blocks: &[SiteBlock]) -> Self {
        let (v4, _) = split_families(blocks);
        let mut table = self.clone();
        table.set_chunk(chunk, build_chunk(chunk, &v4));
        table
    }

    /// Returns a table in which the IPv6 blocks are replaced by those in `blocks`.
    #[must_use]
    pub fn with_v6(&self, blocks: &[SiteBlock]) -> Self {
        let (_, v6) = split_families(blocks);
        Self {
            rows: self.rows.clone(),
            v6: flatten_v6(v6),
        }
    }

    /// Returns the site of the block with the longest prefix that covers an address, or
    /// [`NO_SITE`].
    pub fn site(&self, address: IpAddr) -> SiteId {
        match address {
            IpAddr::V4(address) => self.site_v4(address),
            IpAddr::V6(address) => match address.to_ipv4_mapped() {
                Some(address) => self.site_v4(address),
                None => self.site_v6(address),
            },
        }
    }

    /// Returns the memory that the table takes, in bytes.
    pub fn size_bytes(&self) -> usize {
        let rows = self.rows.len() * size_of::<Arc<ChunkRow>>();
        let chunks: usize = self.rows.iter().map(|row| row_bytes(row)).sum();
        rows + chunks + self.v6.len() * size_of::<V6Range>()
    }

    fn site_v4(&self, address: Ipv4Addr) -> SiteId {
        let [first, second, third, last] = address.octets();
        let Some(row) = self.rows.get(usize::from(first)) else {
            return NO_SITE;
        };
        match &row[usize::from(second)] {
            AddressChunk::Whole(site) => *site,
            AddressChunk::Ranges(ranges) => {
                let low = u16::from_be_bytes([third, last]);
                let after = ranges.partition_point(|range| range.start <= low);
                ranges[..after].last().map_or(NO_SITE, |range| range.site)
            }
        }
    }

    fn site_v6(&self, address: Ipv6Addr) -> SiteId {
        let address = u128::from(address);
        let after = self.v6.partition_point(|range| range.start <= address);
        self.v6[..after].last().map_or(NO_SITE, |range| range.site)
    }

    /// Fills all chunks from blocks sorted by network address, shorter prefixes first.
    fn fill(&mut self, blocks: &[V4Block]) {
        let wide: Vec<AddressSpan> = blocks
            .iter()
            .filter(|(net, _)| net.prefix_len() <= 16)
            .map(AddressSpan::of_v4)
            .collect();
        let wide = flatten(&wide, 0, u128::from(u32::MAX));
        let mut narrow = blocks
            .iter()
            .filter(|(net, _)| net.prefix_len() > 16)
            .copied()
            .peekable();
        let mut own = Vec::new();
        for chunk in 0..=u16::MAX {
            own.clear();
            own.extend(covering_block(chunk, &wide));
            while let Some(block) = narrow.next_if(|(net, _)| chunk_number(*net) == chunk) {
                own.push(block);
            }
            if !own.is_empty() {
                self.set_chunk(chunk, build_chunk(chunk, &own));
            }
        }
    }

    fn set_chunk(&mut self, chunk: u16, content: AddressChunk) {
        let [row, column] = chunk.to_be_bytes();
        if let Some(row) = self.rows.get_mut(usize::from(row)) {
            Arc::make_mut(row)[usize::from(column)] = content;
        }
    }
}

/// Memory overhead of an `Arc` of a slice, in bytes: two reference counts and the allocator's
/// header.
const ARC_BYTES: usize = 24;

fn row_bytes(row: &ChunkRow) -> usize {
    let ranges = row.iter().map(|chunk| match chunk {
        AddressChunk::Whole(_) => 0,
        AddressChunk::Ranges(ranges) => ARC_BYTES + size_of_val::<[ChunkRange]>(ranges),
    });
    size_of::<ChunkRow>() + ARC_BYTES + ranges.sum::<usize>()
}

/// Splits blocks by address family and sorts them by network address, shorter prefixes first.
fn split_families(blocks: &[SiteBlock]) -> (Vec<V4Block>, Vec<V6Block>) {
    let (mut v4, mut v6) = (Vec::new(), Vec::new());
    for block in blocks {
        match block.net.trunc() {
            IpNet::V4(net) => v4.push((net, block.site)),
            IpNet::V6(net) => v6.push((net, block.site)),
        }
    }
    v4.sort_by_key(|(net, _)| (net.network(), net.prefix_len()));
    v6.sort_by_key(|(net, _)| (net.network(), net.prefix_len()));
    (v4, v6)
}

fn chunk_number(net: Ipv4Net) -> u16 {
    (u32::from(net.network()) >> 16) as u16
}

/// Returns a block that covers exactly one chunk, if one of the `wide` ranges, which cover whole
/// chunks, assigns a site to the chunk.
fn covering_block(chunk: u16, wide: &[(u128, SiteId)]) -> Option<V4Block> {
    let address = u32::from(chunk) << 16;
    let after = wide.partition_point(|(start, _)| *start <= u128::from(address));
    let (_, site) = *wide[..after].last()?;
    let net = Ipv4Net::new(Ipv4Addr::from(address), 16).ok()?;
    (site != NO_SITE).then_some((net, site))
}

/// Flattens the sorted blocks that overlap a chunk into the ranges of the chunk.
fn build_chunk(chunk: u16, blocks: &[V4Block]) -> AddressChunk {
    let first = u128::from(chunk) << 16;
    let last = first + 0xffff;
    let spans: Vec<AddressSpan> = blocks
        .iter()
        .map(AddressSpan::of_v4)
        .map(|span| AddressSpan {
            first: span.first.max(first),
            last: span.last.min(last),
            site: span.site,
        })
        .filter(|span| span.first <= span.last)
        .collect();
    let ranges = flatten(&spans, first, last);
    if let [(_, site)] = ranges[..] {
        return AddressChunk::Whole(site);
    }
    let ranges = ranges.into_iter().map(|(start, site)| ChunkRange {
        start: (start - first) as u16,
        site,
    });
    AddressChunk::Ranges(ranges.collect())
}

fn flatten_v6(blocks: Vec<V6Block>) -> Arc<[V6Range]> {
    if blocks.is_empty() {
        return Arc::from([]);
    }
    let spans: Vec<AddressSpan> = blocks
        .into_iter()
        .map(|(net, site)| AddressSpan {
            first: u128::from(net.network()),
            last: u128::from(net.broadcast()),
            site,
        })
        .collect();
    let ranges = flatten(&spans, 0, u128::MAX);
    ranges
        .into_iter()
        .map(|(start, site)| V6Range { start, site })
        .collect()
}

/// A range of addresses with one site; `first` and `last` are included.
#[derive(Debug, Clone, Copy)]
struct AddressSpan {
    first: u128,
    last: u128,
    site: SiteId,
}

impl AddressSpan {
    fn of_v4((net, site): &V4Block) -> Self {
        Self {
            first: u128::from(u32::from(net.network())),
            last: u128::from(u32::from(net.broadcast())),
            site: *site,
        }
    }
}

/// Flattens nested spans into consecutive ranges of one site each, which cover all addresses from
/// `first` to `last`. The spans are sorted by start, wider ones first.
fn flatten(spans: &[AddressSpan], first: u128, last: u128) -> Vec<(u128, SiteId)> {
    let mut ranges: Vec<(u128, SiteId)> = Vec::new();
    let mut enclosing: Vec<AddressSpan> = vec![AddressSpan {
        first,
        last,
        site: NO_SITE,
    }];
    push_range(&mut ranges, first, NO_SITE);
    for span in spans {
        close_spans(&mut enclosing, &mut ranges, |end| end < span.first);
        push_range(&mut ranges, span.first, span.site);
        enclosing.push(*span);
    }
    close_spans(&mut enclosing, &mut ranges, |end| end < last);
    ranges
}

/// Closes the innermost spans while `ends` holds for their last address, and continues the range of
/// the enclosing span after each.
fn close_spans(
    enclosing: &mut Vec<AddressSpan>,
    ranges: &mut Vec<(u128, SiteId)>,
    ends: impl Fn(u128) -> bool,
) {
    while let Some(inner) = enclosing.pop_if(|span| ends(span.last)) {
        if let (Some(outer), Some(start)) = (enclosing.last(), inner.last.checked_add(1)) {
            push_range(ranges, start, outer.site);
        }
    }
}

/// Appends a range. It replaces the last range if that has the same start, and is merged into the
/// last range if that has the same site.
fn push_range(ranges: &mut Vec<(u128, SiteId)>, start: u128, site: SiteId) {
    ranges.pop_if(|(last, _)| *last == start);
    if ranges.last().is_none_or(|(_, last)| *last != site) {
        ranges.push((start, site));
    }
}
