// Records on the claims stream, and messages between the claims services of two
// nodes.
namespace cpp Wire.Generated

struct OnceClaim {
  1: string Key,
  2: string Holder,
  3: i64 Fingerprint,
  4: i64 IssuedMillis,
}

struct OnceOutcome {
  1: string Key,
  2: string Holder,
  3: i32 Result,
  4: i32 HttpStatus,
  5: map<string, string> Headers,
  6: binary Body,
  7: bool WithoutBody,
}

struct OnceBatch {
  1: string Id,
  2: list<OnceClaim> Claims,
  3: list<OnceOutcome> Outcomes,
}

struct OnceAsk {
  1: OnceClaim Wanted,
  2: i64 RemainingMicros,
}

struct OnceVerdict {
  1: string Holder,
  2: i32 Kind,
  3: optional OnceOutcome Ended,
}

union OnceMessage {
  1: OnceAsk Ask,
  2: OnceVerdict Told,
  3: OnceOutcome Ended,
}
