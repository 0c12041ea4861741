// Messages between hosts. New fields must be optional and have new field
// identifiers, so that hosts of different versions understand each other.

struct Document {
    1: i64 version
    2: optional binary content
}

struct MemberRumour {
    1: string name
    2: string data_centre
    3: string peer_address
    4: string state
    5: string incarnation
    6: i32 standing
    7: i64 refutation
    // Capacity of the host's link in bytes per second, absent if unknown.
    8: optional double link_bytes_s
}

struct Heartbeat {
    1: MemberRumour sender
    2: i64 version
    3: optional list<MemberRumour> rumours
    // The identifiers 4, 5, 7 and 8 were used by earlier versions.
    6: optional bool joining
    // Asks for the rumours stored after this change of the receiver, and the
    // last change that the reply includes.
    9: optional i64 known_change
    10: optional i64 last_change
}

struct ActionRequest {
    1: string request_id
    2: string action
    3: string payload
    4: double remaining_ms
    5: string customer
    6: optional string ticket
}

struct ActionAnswer {
    1: i32 code
    2: string request_id
    3: string outcome
    4: string detail
}

struct TicketOutcome {
    1: string nonce
    2: string digest
    3: ActionAnswer answer
}

struct HandOver {
    1: string host
    2: string incarnation
    3: i32 part
    4: i32 parts
    5: i64 forgotten_until_ms
    6: double keep_ms
    7: list<TicketOutcome> outcomes
    8: string series
}

struct StoredEntry {
    1: string key
    2: i64 revision
    // Absent if the key was removed.
    3: optional binary content
}

struct StoredEntries {
    1: list<StoredEntry> entries
    2: i64 revision
    3: optional bool returned
    // Milliseconds since the entries were certainly current, and for which the
    // call was held until this reply. Absent if the age is unknown.
    4: optional double age_ms
    5: optional double held_ms
}

struct NewsRequest {
    1: i64 after
    2: double wait_ms
}

struct QuotaRequest {
    1: string workspace
    2: i32 tokens
    // Position of the asked host in the asking host's order of owners.
    3: i32 rank
}

struct QuotaGrant {
    1: i32 granted
    2: double retry_after_ms
    3: double valid_ms
}

struct HeaderField {
    1: binary name
    2: binary value
}

struct GatherAvailability {
    1: i64 version
    2: bool accepts
}

struct GatherCall {
    1: string sender
    2: i64 version
    3: string request_id
    4: string host
    5: string path
    6: binary method
    7: binary target
    8: list<HeaderField> headers
    9: binary body
    10: double remaining_ms
    11: double goal_ms
}

// Either the first three fields or a failure.
struct GatherAnswer {
    1: optional list<string> execution_proofs
    2: optional i32 missing
    3: optional binary body
    4: optional i32 code
    5: optional string detail
    6: optional double retry_after_ms
}

exception Refused {
    1: i32 code
    2: string text
}

service Peer {
    Heartbeat heartbeat(1: Heartbeat message) throws (1: Refused refused)
    ActionAnswer act_with_ticket(1: ActionRequest request)
        throws (1: Refused refused)
    void hand_over(1: HandOver part) throws (1: Refused refused)
    StoredEntries news(1: NewsRequest request) throws (1: Refused refused)
    // All entries of the store that the host knows. Absent in earlier versions.
    StoredEntries entries() throws (1: Refused refused)
    // Tokens of a workspace's quota. Absent in earlier versions.
    QuotaGrant quota(1: QuotaRequest request) throws (1: Refused refused)
    // Whether the host takes a gather of another host now, and the gather
    // itself. Absent in earlier versions.
    GatherAvailability gather_availability() throws (1: Refused refused)
    GatherAnswer gather(1: GatherCall call) throws (1: Refused refused)
    Document configuration(1: i64 known_version) throws (1: Refused refused)
}
