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

service Peer {
  Status exchange(1: Status mine)
  Document document(1: i64 after_revision)
  binary manifest(1: string manifest_digest)
  Chunk chunk(1: ChunkAsk ask)
  SealAnswer seal(1: SealAsk ask)
}
