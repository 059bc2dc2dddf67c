/// \file
/// Claims on idempotency keys in the platform's store, as a state machine
/// without I/O. A call with a key runs only after its claim has been written.
#pragma once

#include "galenarudder/once/claim_shard.hpp"
#include "galenarudder/store/change_index.hpp"
#include "galenarudder/support/refusal.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace galenarudder::once {

/// Identifies one request for a claim, unique within the daemon.
enum class claim_request_id : std::uint64_t
{
};

/// The current time by both clocks: deadlines use the monotonic clock, the
/// expiry of claims uses the wall clock.
struct instant
{
    support::time_point monotonic;
    std::uint64_t wall_ms = 0;
};

/// A call that needs a claim on its idempotency key before it is dispatched.
struct claim_request
{
    claim_request_id id{};
    std::string service;
    std::string key;
    support::time_point deadline;
    /// Whether the request only looks for a recorded outcome. It then never
    /// writes a claim; without a recorded outcome it is refused.
    bool lookup = false;
};

/// How an admitted call ended.
struct call_outcome
{
    enum class kind
    {
        answered,
        /// The call is known not to have run: its key becomes free again.
        not_run,
        unknown
    };
    kind result = kind::unknown;
    /// Set when the result is answered.
    recorded_outcome response;
};

/// Result of a write to the store.
enum class write_result
{
    swapped,
    index_mismatch,
    /// The write did not take effect and cannot later: it was not sent, or the
    /// store refused it.
    not_sent,
    /// The store's reply was lost; the write may have taken effect, or may
    /// still do so.
    unknown
};

/// Read this shard and report to on_read or on_read_failed.
struct read_shard
{
    shard_id shard{};
};

/// Write this shard if it still has the expected index and report the result
/// to on_write.
struct write_shard
{
    shard_id shard{};
    std::string value;
    store::change_index expected_index;
};

/// Dispatch the call: its claim is in the store.
struct admit
{
    claim_request_id request{};
};

/// Answer the call with the recorded response of an earlier call with the same
/// key.
struct replay
{
    claim_request_id request{};
    recorded_outcome response;
};

/// Refuse the call; it is not dispatched.
struct refuse_claim
{
    claim_request_id request{};
    support::refusal refusal;
};

using claim_action =
    std::variant<read_shard, write_shard, admit, replay, refuse_claim>;

/// That a key runs at most once depends on the store's compare-and-swap alone.
/// This daemon has at most one store operation in flight for each shard;
/// requests that arrive in the meantime share the next one.
class claims
{
public:
    /// \p owner must be unique for each start of each daemon: tokens of claims
    /// begin with it.
    claims(std::string owner, support::duration retention);

    void set_retention(support::duration retention) { retention_ = retention; }

    std::vector<claim_action> on_call(const claim_request& request,
                                      const instant& now);
    /// The caller closed its connection before its claim was decided. The
    /// daemon does not call this at present.
    std::vector<claim_action> on_abandoned(claim_request_id request,
                                           const instant& now);
    /// An admitted call ended.
    std::vector<claim_action> on_outcome(claim_request_id request,
                                         call_outcome outcome,
                                         const instant& now);

    std::vector<claim_action> on_read(shard_id shard,
                                      std::string_view value,
                                      const store::change_index& index,
                                      const instant& now);
    std::vector<claim_action> on_read_failed(shard_id shard,
                                             const instant& now);
    std::vector<claim_action>
    on_write(shard_id shard, write_result result, const instant& now);
    std::vector<claim_action> on_tick(const instant& now);

    /// Returns whether a claim, an outcome or a release has not yet reached the
    /// store.
    bool pending() const { return !shards_.empty(); }

private:
    enum class operation_kind
    {
        claim,
        /// Records the outcome of an admitted call.
        record,
        /// Removes a claim. Its write also changes the shard's index, so that
        /// an earlier write still in flight can no longer take effect.
        release
    };
    /// A change of one claim that has not reached the store.
    struct pending_operation
    {
        operation_kind kind{};
        claim_request_id request{};
        std::string digest;
        std::string token;
        support::time_point deadline;
        /// See claim_request::lookup.
        bool lookup = false;
        call_outcome outcome;
        /// Whether the write in flight contains this operation.
        bool in_current_write = false;
        /// Whether a write whose result is unknown contained this claim.
        bool possibly_written = false;
    };
    enum class shard_phase
    {
        idle,
        reading,
        writing
    };
    /// The pending operations of a shard and its store operation in flight.
    struct shard_state
    {
        shard_phase phase = shard_phase::idle;
        std::deque<pending_operation> operations;
        /// No read starts before this time.
        support::time_point retry_at;
        support::duration backoff{};
    };
    struct admitted_claim
    {
        std::string digest;
        std::string token;
    };
    /// Applies a shard's pending operations to the value that was read.
    struct shard_update;
    using action_list = std::vector<claim_action>;

    /// Returns a text for a claim's token or a write's id, unique among all
    /// daemons.
    std::string next_unique_id();
    action_list enqueue(pending_operation operation, const instant& now);
    void start_read(shard_id shard, const instant& now, action_list& actions);
    void start_reads(const instant& now, action_list& actions);
    void apply(pending_operation& operation, shard_update& update);
    void apply_claim(pending_operation& operation, shard_update& update);
    void apply_record(const pending_operation& operation, shard_update& update);
    bool admit_or_release(pending_operation& claim,
                          const instant& now,
                          action_list& actions);
    void refuse(pending_operation& operation,
                support::refusal reason,
                action_list& actions);
    void refuse_unwritten(shard_state& state,
                          std::string_view detail,
                          action_list& actions);
    static void back_off(shard_state& state, const instant& now);

    std::string owner_;
    support::duration retention_;
    std::uint64_t last_id_ = 0;
    std::map<shard_id, shard_state> shards_;
    std::map<claim_request_id, admitted_claim> admitted_;
};

} // namespace galenarudder::once
