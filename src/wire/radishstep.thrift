// Messages between radishstep's own processes, in Thrift's compact protocol.
// Over TCP each message is one frame: a 4-byte big-endian length, the sender's
// 8-byte hybrid clock, then one Message.
// Over UDP each datagram is one Gossip.

namespace cpp radishstep.wire

struct PermitRequest {
  1: string request
  2: i32 attempt
  3: string cell
  4: string client
  5: i32 priority
  6: i32 prompt_tokens
  7: i32 answer_tokens
  8: i64 prefix
  9: i64 fingerprint
  10: i32 patience_ms
  11: list<string> avoid
  12: i32 waited_ms
}

struct Grant {
  1: string request
  2: i32 attempt
  3: string prefill
  4: string decode
}

struct Refusal {
  1: string request
  2: i32 attempt
  3: string kind
  4: i32 retry_after_ms
}

// The end of a permit, or of a permit request that is not wanted any more.
struct Release {
  1: string request
  2: i32 attempt
  3: string cell
  4: i32 prefill_us
  5: i32 tokens
  6: i32 decode_us
  7: list<string> failed
  8: list<string> died
  9: i64 fingerprint
  10: i32 prompt_tokens
  11: i32 service_us
}

// The prefill endpoint has handed its result over; its slot is free again.
struct PrefillDone {
  1: string request
  2: i32 attempt
  3: string cell
  4: i32 prefill_us
}

struct OpenPermit {
  1: PermitRequest ask
  2: string prefill
  3: string decode
  4: bool prefill_done
}

struct Strike {
  1: i64 fingerprint
  2: i32 deaths
}

// What an entry process holds of one cell; complete, so that the receiver may drop the rest.
struct Reassert {
  1: string cell
  2: list<OpenPermit> permits
  3: list<Strike> strikes
}

// How long an endpoint took for a token lately, as the streams through one entry process saw it.
struct Pace {
  1: string cell
  2: string endpoint
  3: i32 token_us
}

// A connection to this host's broker was refused: nothing listens there any more.
struct PeerRefused {
  1: string host
  2: i64 incarnation
}

struct Hello {
  1: string process
  2: string host
  3: i64 incarnation
}

struct MemberRecord {
  1: string host
  2: string zone
  3: string region
  4: string address
  5: i32 gossip_port
  6: i32 link_port
  7: i64 incarnation
  8: i32 state
  9: string admin_urls
}

struct View {
  1: list<MemberRecord> members
  // IP numbers of hosts, of any kind, that are leaving.
  2: list<string> leaving
}

struct ConfigFetch {
  1: i64 above
}

struct ConfigPush {
  1: i64 version
  2: string document
}

struct Heartbeat {
  1: i64 sequence
}

union Message {
  1: Hello hello
  2: PermitRequest permit_request
  3: Grant grant
  4: Refusal refusal
  5: Release release
  6: PrefillDone prefill_done
  7: Reassert reassert
  8: View view
  9: ConfigFetch config_fetch
  10: ConfigPush config_push
  11: Heartbeat heartbeat
  12: Pace pace
  13: PeerRefused peer_refused
}

struct Gossip {
  1: i32 kind
  2: i64 sequence
  3: MemberRecord sender
  4: string target
  5: list<MemberRecord> news
  6: i64 stamp
  7: i64 config_version
}

struct EndpointLoad {
  1: string endpoint
  2: i32 calls
  3: i64 tokens
  4: i64 unread
}

// The first request in a host's queue for a service.
struct WaitingHead {
  1: string service_name
  // How much of the allowed waiting time has passed: 0 on time, 1 at risk, 2 late.
  2: i32 lateness
  3: i32 age_ms
  // 0 is the most urgent; hosts of earlier versions don't send it and count as urgent, so that their slots are kept.
  4: i32 priority = 0
}

// An endpoint incarnation that is known to be down, and for how long it has been known.
struct DownEndpoint {
  1: string endpoint
  2: i32 age_ms
  // It refused a connection; left out if another incarnation answered at its address.
  3: optional bool refused
}

// The revision of the newest change that a host has seen under a prefix of the key-value service.
struct SeenChange {
  1: string prefix
  2: i64 revision
}

// A request that an endpoint had not begun to answer when it crashed, with the parts of its prompt that others share.
struct CrashedRequest {
  1: string endpoint
  2: list<string> parts
  3: i32 age_ms
  // Bit i: an answer to a prompt with parts[i] has started since; the first 32 parts.
  4: optional i32 cleared
  // The endpoint has answered since.
  5: optional bool refuted
  // How long the endpoint had had the request, and the part of the age beyond whole milliseconds; hosts of earlier
  // versions send neither.
  6: optional i64 ran_us
  7: optional i32 age_us
  // The endpoint refused a connection, broke off all calls of a host together, or was replaced by a new incarnation, soon
  // after the crash; goes before `refuted`.
  8: optional bool ended
  // The same as `cleared` for all parts, eight a byte. Left out where `cleared` says it all.
  9: optional binary all_cleared
  // Time from the first event of the answer to the crash, if there was one.
  10: optional i64 answered_us
}

// A part of a prompt that some CrashedRequest has, and when an answer to a prompt with it last started.
struct StartedPart {
  1: string part
  2: i32 age_ms
}

// What a host has spent of a client account's quota in a period of use, in whole units.
struct AccountSpending {
  // Hash of the account's name.
  1: i32 account
  2: i64 units
  // Age of the period.
  3: i32 age_ms
}

// How long an endpoint took for a piece of a host's work.
struct ObservedPace {
  1: string endpoint
  // 0: prefill, 1: decode, 2: plain call.
  2: i32 kind
  // In thousandths: of a ms a token for decode, of the usual duration otherwise.
  3: i32 pace
}

// What a host's requests do at the endpoints. A partial report has the rows that changed since the host's
// last report, each in full; a row of zeros ends one.
struct LoadReport {
  1: string host
  // Grows with each report of the host, also over its restarts.
  2: i64 sequence
  3: list<EndpointLoad> loads
  4: list<WaitingHead> heads
  // Observed by the host itself lately.
  5: list<DownEndpoint> down
  7: bool is_partial
  8: list<SeenChange> seen
  // Both observed by the host itself; left out when empty.
  9: optional list<CrashedRequest> crashed
  10: optional list<StartedPart> started
  // Known to the host, whoever observed them; hosts of earlier versions don't pass them on. Left out when empty.
  11: optional list<CrashedRequest> relayed
  // Parts of requests that crashed endpoints, of which the host sends one to learn whether they still do. Left out when
  // empty.
  12: optional list<string> trials
  // Accounts that spent lately. Left out when empty.
  13: optional list<AccountSpending> spending
  // Observed by the host itself since its last report. Left out when empty.
  20: optional list<ObservedPace> paces
}
