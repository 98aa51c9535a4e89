// Messages between daisystack processes. Generated code: daisystack/wire/gen (make gen).
namespace py gen

struct Weights {
  1: string model
  2: string version
  3: string manifest_digest
}

struct CrashCount {
  1: string fingerprint
  2: i32 deaths
  // The run of an entry that counted them, and the time since the last one; in news of the mesh.
  3: string entry_id
  4: i32 age_ms
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
  // One bit per chunk of the manifest, most significant bit first; a set bit requests the chunk.
  2: binary wanted
  3: i32 wait_ms
  4: string from_instance
}

struct Chunk {
  // -1 if none of the requested chunks became available within wait_ms.
  1: i32 index
  2: binary body
}

struct SealAsk {
  1: string ticket
}

struct SealAnswer {
  // sealed: never ran and never will; running; finished; unknown
  1: string state
  // The engine crashed while this ticket ran, and the crash is attributed to this request.
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
  // Time since the member itself reported this state.
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
  // Time until the engine is expected to load other weights; -1 if no load is expected.
  9: i32 loads_in_ms
  // How many times as long as in its profile the engine takes.
  10: double slowdown = 1.0
}

// State of a mirror of published keys; complete_revision 0 means that it is empty so far.
struct MirrorState {
  1: string prefix
  2: i64 complete_revision
  // Time since the store confirmed that it holds nothing newer; -1 means never.
  3: i32 age_ms
  // Revisions are compared only within an era of the store.
  4: i64 era = 0
  // Newest revision of a known change; it may be above the complete revision. 0: not told.
  5: i64 newest_revision = 0
}

struct TargetNews {
  1: string model
  2: i64 version
  // Time since an entry learned of this target; -1 means at some time before the entry started.
  3: i32 age_ms
}

// Number of entries of an availability zone, as the zone itself counts them.
struct ZoneSize {
  1: string zone
  2: i32 entries
  3: i32 age_ms
}

// A part of prompts, and the upstreams that ended while a request with it was answered.
struct PartNews {
  1: binary part
  // The part had complete answers.
  2: bool sound
  // Packed crashes; see daisystack.wire.mesh.
  3: binary crashes
  // The sender refuses requests with the part.
  4: bool held
}

// A limit that an upstream named for the requests of all entries together; ages are times since the
// first and the last answer that named it, and since a request was sent whose answer named none (-1:
// never).
struct RateLimitNews {
  1: string upstream_id
  2: i64 started_ms
  3: double limit_per_s
  4: i32 first_age_ms
  5: i32 named_age_ms
  6: i32 absent_age_ms
}

struct MeshNews {
  1: MemberState sender
  // Members that the receiver of an answer lacks, going by the heartbeats in its request.
  2: list<MemberState> members
  3: list<MirrorState> mirrors
  4: list<InFlight> in_flight
  5: list<EngineNews> engines
  6: list<CrashCount> crash_counts
  7: list<TargetNews> targets
  // Packed heartbeats of known entries; see daisystack.wire.heartbeats.
  8: binary heartbeats
  9: list<ZoneSize> zones
  10: list<PartNews> parts
  11: list<RateLimitNews> rate_limits
}

// Datagram with engine statuses.
struct EngineReports {
  1: list<EngineNews> engines
  // Sent by the agent of the engine itself.
  2: bool direct
  // The receiving entry sends it on to its zone.
  3: bool forward
}

struct MirrorItem {
  1: string key
  2: i64 revision
  3: bool deleted
  4: binary value
  // Whether the value is compressed by zlib.
  5: bool packed = false
}

struct MirrorDelta {
  1: i64 complete_revision
  2: i32 age_ms
  3: bool whole
  4: list<MirrorItem> items
  5: i64 era = 0
}

struct PieceAsk {
  1: string model
  2: i64 version
  3: i32 index
  4: i32 wait_ms
  // Range of the piece; a length of 0 means everything from the offset on.
  5: i32 offset_bytes
  6: i32 length_bytes
}

struct Piece {
  // False if the piece did not become available within wait_ms.
  1: bool held
  2: binary body
  3: i32 size_bytes
}

service Peer {
  MeshNews gossip(1: MeshNews mine)
  // The caller has the values of the revisions in held, and reads packed values if it says so.
  MirrorDelta mirror(1: string prefix, 2: i64 after_revision, 3: i64 era, 4: list<i64> held,
    5: bool accepts_packed)
  // Digests of a version's pieces in order, empty if they stay unknown for wait_ms.
  // The caller names the fingerprint of a list that it has found to be wrong, if any.
  list<string> digests(1: string model, 2: i64 version, 3: i32 wait_ms, 4: string rejected)
  Piece piece(1: PieceAsk ask)
  Status exchange(1: Status mine)
  Document document(1: i64 after_revision)
  binary manifest(1: string manifest_digest)
  Chunk chunk(1: ChunkAsk ask)
  SealAnswer seal(1: SealAsk ask)
}
