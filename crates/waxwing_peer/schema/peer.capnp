@0x92149fef1c02ee7c;
# The protocol between daemons. The types correspond to those of waxwing_core/src/message.rs, which
# state the meaning and the unit of each field.

struct Record {
  path @0 :Text;
  version @1 :UInt64;
  value @2 :Data;
}

struct PullRequest {
  from @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  after @3 :UInt64;
  stopping @4 :Bool;
}

struct PullReply {
  from @0 :Text;
  incarnation @1 :UInt64;
  revision @2 :UInt64;
  age @3 :UInt64;
  records @4 :List(Record);
  more @5 :Bool;
  quarantined @6 :List(UInt64);
  stopping @7 :Bool;
}

struct LimitKey {
  union {
    workspace @0 :Text;
    shift @1 :Text;
    link :group {
      from @2 :Text;
      to @3 :Text;
    }
    region @4 :Text;
  }
}

struct Ask {
  key @0 :LimitKey;
  rate @1 :UInt64;
  burst @2 :UInt64;
  tokens @3 :UInt64;
  inForce @4 :UInt64;
}

struct BorrowRequest {
  from @0 :Text;
  incarnation @1 :UInt64;
  domain @2 :Text;
  asks @3 :List(Ask);
}

struct Grant {
  # Place of the limit among the asks, which saves the key.
  ask @0 :UInt32;
  # In milliseconds.
  term @1 :UInt32;
  seq @2 :UInt64;
  rate @3 :UInt64;
  burst @4 :UInt64;
  tokens @5 :UInt64;
}

struct BorrowReply {
  grants @0 :List(Grant);
}

struct ShardEpoch {
  shard @0 :UInt8;
  epoch @1 :UInt64;
}

struct RenewRequest {
  from @0 :Text;
  incarnation @1 :UInt64;
  shards @2 :List(ShardEpoch);
}

struct RenewReply {
  acked @0 :List(ShardEpoch);
}

interface Peer {
  pull @0 PullRequest -> PullReply;
  borrow @1 BorrowRequest -> BorrowReply;
  renew @2 RenewRequest -> RenewReply;
}
