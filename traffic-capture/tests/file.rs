//! Files as disks leave them: whole, cut off anywhere, spoilt anywhere.

use otterwinch_traffic_capture::{Amiss, Asked, Full, Met, Piece, Reader, Start, Sum, Txn, Writer};
use proptest::prelude::*;

fn start() -> Start {
    let own = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    Start {
        products: own(&["quote", "hold"]),
        halls: own(&["a", "b", "c"]),
        began_unix_ms: 7,
        source: "t".into(),
    }
}

fn txn(k: u64) -> Txn {
    Txn {
        at_us: k as i64 * 900 - 40,
        product: (k % 2) as u32,
        hall: (k % 3) as u32,
        work_us: (!k.is_multiple_of(5)).then_some(100_000 + k * 7),
        key: k.is_multiple_of(4).then_some(k.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        attempt: u32::from(k.is_multiple_of(11)),
    }
}

fn sums() -> Vec<Sum> {
    let met = Met {
        at_us: 9,
        over_us: 1_000_000,
        hall: 2,
        node: "n7".into(),
        tries: 40,
        voided: 3,
        took_us: 41_700,
    };
    vec![
        Sum::Met(met),
        Sum::Asked(Asked { at_us: 11, over_us: 1_000_000, forwarder: 6, product: 1, txns: 19 }),
    ]
}

/// A file of so many txns in blocks of 4,096, and the sums.
fn file(txns: u64) -> Vec<u8> {
    let mut file = Vec::new();
    let mut writer = Writer::open(&mut file, &start(), None).unwrap();
    (0..txns).for_each(|k| writer.txn(txn(k)).unwrap().unwrap());
    sums().into_iter().for_each(|sum| writer.sum(sum).unwrap().unwrap());
    assert_eq!(writer.end().unwrap(), (txns, 2));
    file
}

/// All txns that a file yields, and all that was amiss.
fn read(bytes: &[u8]) -> (Vec<Txn>, Vec<Sum>, Vec<Amiss>) {
    let (mut txns, mut sums, mut amiss) = (vec![], vec![], vec![]);
    for piece in Reader::open(bytes).unwrap() {
        match piece {
            Piece::Txns(more) => txns.extend(more),
            Piece::Sums(more) => sums.extend(more),
            Piece::Amiss(what) => amiss.push(what),
        }
    }
    (txns, sums, amiss)
}

#[test]
fn what_was_written_is_read() {
    let (txns, read_sums, amiss) = read(&file(10_000));
    assert_eq!(txns, (0..10_000).map(txn).collect::<Vec<_>>());
    assert_eq!((read_sums, amiss), (sums(), vec![]));
}

#[test]
fn a_file_cut_off_anywhere_reads_to_its_last_whole_block_and_says_so() {
    let whole = file(9_000);
    let opens = whole.len() - file(0).len();
    assert!(opens > 1_000);
    let first = (0..whole.len()).find(|to| Reader::open(&whole[..*to]).is_ok()).unwrap();
    for to in (first..whole.len()).step_by(97) {
        let (txns, _, amiss) = read(&whole[..to]);
        assert!([0, 4_096, 8_192, 9_000].contains(&txns.len()), "{} at {to}", txns.len());
        assert_eq!(txns, (0..txns.len() as u64).map(txn).collect::<Vec<_>>());
        assert!(matches!(amiss[..], [Amiss::CutOff { .. }]), "{amiss:?} at {to}");
    }
    assert!((0..first).all(|to| Reader::open(&whole[..to]).is_err()));
}

#[test]
fn a_spoilt_block_is_named_and_costs_itself_alone() {
    let mut bytes = file(12_288);
    // In the middle of the second block of txns.
    let at = bytes.len() / 2;
    bytes[at] ^= 0x40;
    let (txns, read_sums, amiss) = read(&bytes);
    assert_eq!((txns.len(), read_sums.len()), (8_192, 2));
    assert!(matches!(&amiss[0], Amiss::Spoilt { why, .. } if why.contains("checksum")), "{amiss:?}");
    assert_eq!(amiss[1], Amiss::Miscounted { txns: (8_192, 12_288), sums: (2, 2) });
}

#[test]
fn bytes_that_are_no_block_are_passed_over_up_to_the_next() {
    let whole = file(4_096);
    let opening = file(0);
    // Where the first block of txns begins: the files part there.
    let at = whole.iter().zip(&opening).position(|(a, b)| a != b).unwrap();
    let head = at - whole[..at].windows(4).rev().position(|w| w == [0xb7, 0x4f, 0x57, 0x0d]).unwrap() - 4;
    let mut bytes = whole[..head].to_vec();
    bytes.extend(std::iter::repeat_n(0xb7, 70_000));
    bytes.extend(&whole[head..]);
    let (txns, _, amiss) = read(&bytes);
    assert_eq!(txns.len(), 4_096);
    assert_eq!(amiss, [Amiss::Strange { at: head as u64, bytes: 70_000 }]);
}

#[test]
fn a_file_that_is_full_is_ended_whole() {
    let mut bytes = Vec::new();
    let mut writer = Writer::open(&mut bytes, &start(), Some(20_000)).unwrap();
    let full = (0..200_000).find(|k| writer.txn(txn(*k)).unwrap() == Err(Full));
    assert!(full.is_some());
    let (txns, _) = writer.end().unwrap();
    assert!(bytes.len() <= 20_000);
    let (read_txns, _, amiss) = read(&bytes);
    assert_eq!((read_txns.len() as u64, amiss), (txns, vec![]));
}

#[test]
fn foreign_and_newer_files_are_told_apart() {
    let refused = |bytes: &[u8]| Reader::open(bytes).err().unwrap().to_string();
    assert_eq!(refused(b"at,product\n1,quote\n"), "no captured load: it does not begin with OTWLOAD1");
    assert_eq!(
        refused(b"OTWLOAD2xxxxxxxxxxxxxxxxxxxxxxxxxxx"),
        "captured load of a newer version than this program reads"
    );
    assert!(refused(b"").starts_with("no captured load"));
}

proptest! {
    /// Whatever bytes come behind a sound beginning, reading ends, yields no txn twice and never panics.
    #[test]
    fn any_bytes_are_read_to_their_end(noise in prop::collection::vec(any::<u8>(), 0..400), flips in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..6)) {
        let mut bytes = file(5_000);
        let opening = 90;
        for (at, with) in flips {
            let at = opening + at.index(bytes.len() - opening);
            bytes[at] ^= with;
        }
        bytes.extend(noise);
        if let Ok(reader) = Reader::open(bytes.as_slice()) {
            let mut read = 0;
            for piece in reader {
                if let Piece::Txns(txns) = piece {
                    read += txns.len();
                }
            }
            prop_assert!(read <= 5_000);
        }
    }
}
