// Messages between daisystack's own processes. Generated code: daisystack/wire/gen (make gen).
namespace py gen

struct Weights {
  1: string model
  2: string version
  3: string manifest_digest
}

struct CrashCount {
  1: string fingerprint
  2: i32 deaths
}

struct Status {
  1: string instance_id
  2: string incarnation
  3: double uptime_s
  4: i64 revision
  5: bool leaving
  6: bool gate_open
  7: list<Weights> serving
  8: i32 in_flight
  9: i32 capacity
  10: double service_age_s
  11: i32 chunks_held
  12: i32 chunks_wanted
  13: bool loading
  14: list<CrashCount> crash_counts
}

struct Document {
  1: i64 revision
  2: binary body
}

struct ChunkAsk {
  1: string manifest_digest
  // One bit per chunk of the manifest, most significant bit first; set means wanted.
  2: binary wanted
  3: i32 wait_ms
  4: string from_instance
}

struct Chunk {
  // -1 when none of the wanted chunks came within the wait.
  1: i32 index
  2: binary body
}

struct SealAsk {
  1: string ticket
}

struct SealAnswer {
  // sealed: never ran and never will; running; finished; unknown
  1: string state
  // The engine died while this ticket ran, and it is to blame.
  2: bool crashed
}

struct MemberState {
  1: string id
  2: string incarnation
  3: string role
  4: string peer_address
  5: string caller_address
  6: string zone
  7: string region
  8: bool ready
  9: bool leaving
  10: i64 beat
  // Since the member itself said this.
  11: i32 age_ms
  12: string news_address
}

struct InFlight {
  1: string upstream_id
  2: i32 requests
}

struct EngineNews {
  1: string address
  2: i64 born_ms
  3: i64 version
  4: bool whole
  5: bool loading
  6: i32 running
  7: i32 queued
  8: i32 age_ms
  // Until the engine is expected to load other weights; -1 when it is not.
  9: i32 loads_in_ms
}

// What a mirror of published keys holds; complete_revision 0 means nothing yet.
struct MirrorState {
  1: string prefix
  2: i64 complete_revision
  // Since the store confirmed that it holds nothing newer; -1 means never.
  3: i32 age_ms
}

struct TargetNews {
  1: string model
  2: i64 version
  // Since an entry learned that this version is wanted; -1 means at some time before it started.
  3: i32 age_ms
}

struct MeshNews {
  1: MemberState sender
  2: list<MemberState> members
  3: list<MirrorState> mirrors
  4: list<InFlight> in_flight
  5: list<EngineNews> engines
  6: list<CrashCount> crash_counts
  7: list<TargetNews> targets
}

struct MirrorItem {
  1: string key
  2: i64 revision
  3: bool deleted
  4: binary value
}

struct MirrorDelta {
  1: i64 complete_revision
  2: i32 age_ms
  3: bool whole
  4: list<MirrorItem> items
}

struct PieceAsk {
  1: string model
  2: i64 version
  3: i32 index
  4: i32 wait_ms
  // A part of the piece; a length of 0 means all that follows the offset.
  5: i32 offset_bytes
  6: i32 length_bytes
}

struct Piece {
  // False when the piece did not come within the wait.
  1: bool held
  2: binary body
  3: i32 size_bytes
}

service Peer {
  MeshNews gossip(1: MeshNews mine)
  MirrorDelta mirror(1: string prefix, 2: i64 after_revision)
  // The digests of a version in order, empty when they are not known.
  list<string> digests(1: string model, 2: i64 version)
  Piece piece(1: PieceAsk ask)
  Status exchange(1: Status mine)
  Document document(1: i64 after_revision)
  binary manifest(1: string manifest_digest)
  Chunk chunk(1: ChunkAsk ask)
  SealAnswer seal(1: SealAsk ask)
}
