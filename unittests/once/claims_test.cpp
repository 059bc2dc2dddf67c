// Runs the claim state machine against a fake store whose writes fail, arrive
// late or lose their reply.
#include "galenarudder/once/claims.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

namespace galenarudder::once {

namespace {

using support::refusal_kind;
using support::run_outcome;

constexpr support::duration retention = std::chrono::hours(1);
constexpr std::uint64_t wall_start_ms = 1'000'000;

/// The values of a store with compare-and-swap.
struct fake_store
{
    struct stored_value
    {
        std::string value;
        store::change_index index;
    };
    std::map<shard_id, stored_value> values;
    std::uint64_t last_index = 0;

    bool swap(const write_shard& write)
    {
        stored_value& stored = values[write.shard];
        if (stored.index != write.expected_index)
            return false;
        stored.value = write.value;
        stored.index = {++last_index};
        return true;
    }
};

/// One daemon: its state machine, the store operations that it has asked for
/// and the decisions on its calls.
struct daemon
{
    explicit daemon(std::string name) : machine(std::move(name), retention) {}

    claims machine;
    std::vector<read_shard> reads;
    std::vector<write_shard> writes;
    std::vector<claim_request_id> admitted;
    std::vector<replay> replays;
    std::vector<refuse_claim> refusals;

    void execute(const std::vector<claim_action>& actions)
    {
        for (const claim_action& action : actions) {
            if (const auto* read = std::get_if<read_shard>(&action))
                reads.push_back(*read);
            else if (const auto* write = std::get_if<write_shard>(&action))
                writes.push_back(*write);
            else if (const auto* admission = std::get_if<admit>(&action))
                admitted.push_back(admission->request);
            else if (const auto* replayed = std::get_if<replay>(&action))
                replays.push_back(*replayed);
            else
                refusals.push_back(std::get<refuse_claim>(action));
        }
    }

    void call(std::uint64_t id,
              const std::string& key,
              const instant& now,
              support::duration time_left = std::chrono::seconds(1),
              bool lookup = false)
    {
        claim_request request;
        request.id = static_cast<claim_request_id>(id);
        request.service = "reservas";
        request.key = key;
        request.deadline = now.monotonic + time_left;
        request.lookup = lookup;
        execute(machine.on_call(request, now));
    }

    /// Carries out store operations until none is in flight.
    void complete_store_calls(fake_store& store, const instant& now)
    {
        while (!reads.empty() || !writes.empty()) {
            const auto pending_reads = std::exchange(reads, {});
            for (const read_shard& read : pending_reads) {
                const auto& stored = store.values[read.shard];
                execute(machine.on_read(read.shard, stored.value, stored.index,
                                        now));
            }
            const auto pending_writes = std::exchange(writes, {});
            for (const write_shard& write : pending_writes) {
                const bool swapped = store.swap(write);
                execute(machine.on_write(write.shard,
                                         swapped ? write_result::swapped
                                                 : write_result::index_mismatch,
                                         now));
            }
        }
    }
};

call_outcome answered(unsigned status, std::string body)
{
    call_outcome outcome;
    outcome.result = call_outcome::kind::answered;
    outcome.response = {status, "text/plain", std::move(body), true};
    return outcome;
}

call_outcome outcome_with_result(call_outcome::kind result)
{
    call_outcome outcome;
    outcome.result = result;
    return outcome;
}

instant start()
{
    return {support::time_point(std::chrono::hours(1)), wall_start_ms};
}

instant later(instant now, support::milliseconds elapsed)
{
    now.monotonic += elapsed;
    now.wall_ms += static_cast<std::uint64_t>(elapsed.count());
    return now;
}

constexpr auto first_request = static_cast<claim_request_id>(1);
/// Parameters of the random sessions.
constexpr std::size_t steps_per_session = 300;
constexpr std::uint64_t calls_per_key = 5;

} // namespace

TEST_CASE("a second call is refused while the first runs, then gets its "
          "response")
{
    fake_store store;
    daemon daemon_a("one");
    daemon daemon_b("other");
    const instant now = start();
    daemon_a.call(1, "k", now);
    daemon_a.complete_store_calls(store, now);
    REQUIRE(daemon_a.admitted == std::vector<claim_request_id>{first_request});
    daemon_b.call(1, "k", now);
    daemon_b.complete_store_calls(store, now);
    REQUIRE(daemon_b.refusals.size() == 1);
    CHECK(daemon_b.refusals[0].refusal.kind == refusal_kind::already_running);
    CHECK(daemon_b.refusals[0].refusal.outcome == run_outcome::unknown);
    daemon_a.execute(daemon_a.machine.on_outcome(first_request,
                                                 answered(201, "booked"), now));
    daemon_a.complete_store_calls(store, now);
    CHECK_FALSE(daemon_a.machine.pending());
    daemon_b.call(2, "k", now);
    daemon_b.complete_store_calls(store, now);
    REQUIRE(daemon_b.replays.size() == 1);
    CHECK(daemon_b.replays[0].response.status == 201);
    CHECK(daemon_b.replays[0].response.body == "booked");
    CHECK(daemon_b.admitted.empty());
}

// A claim written by a lookup would keep the key of a call that never runs.
TEST_CASE("a lookup gets a recorded outcome and never claims a key")
{
    enum class earlier_call
    {
        none,
        running,
        ended
    };
    struct row
    {
        earlier_call earlier;
        bool found;
    };
    for (const row& row :
         {row{earlier_call::none, false}, row{earlier_call::running, false},
          row{earlier_call::ended, true}}) {
        CAPTURE(static_cast<int>(row.earlier));
        fake_store store;
        daemon first("first");
        daemon second("second");
        if (row.earlier != earlier_call::none) {
            first.call(1, "k", start());
            first.complete_store_calls(store, start());
        }
        if (row.earlier == earlier_call::ended) {
            first.execute(first.machine.on_outcome(
                first_request, answered(200, "the first"), start()));
            first.complete_store_calls(store, start());
        }
        const std::uint64_t writes_before = store.last_index;
        second.call(1, "k", start(), std::chrono::seconds(1), true);
        second.complete_store_calls(store, start());
        CHECK(second.replays.size() == (row.found ? 1U : 0U));
        CHECK(second.refusals.size() == (row.found ? 0U : 1U));
        CHECK(second.admitted.empty());
        CHECK(store.last_index == writes_before);
        CHECK_FALSE(second.machine.pending());
    }
}

TEST_CASE("a key becomes free only if its call is known not to have run")
{
    struct row
    {
        call_outcome::kind result;
        bool admitted;
    };
    const auto& [result, admitted] =
        GENERATE(values<row>({{call_outcome::kind::not_run, true},
                              {call_outcome::kind::unknown, false}}));
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    daemon_a.complete_store_calls(store, now);
    daemon_a.execute(daemon_a.machine.on_outcome(
        first_request, outcome_with_result(result), now));
    daemon_a.complete_store_calls(store, now);
    daemon_a.call(2, "k", now);
    daemon_a.complete_store_calls(store, now);
    CHECK((daemon_a.admitted.size() == 2) == admitted);
    CHECK(daemon_a.refusals.size() == (admitted ? 0 : 1));
    if (!admitted)
        CHECK(daemon_a.refusals[0].refusal.outcome == run_outcome::unknown);
}

TEST_CASE("concurrent claims of one shard share one write")
{
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    // The other calls arrive while the first read is in flight.
    std::vector<std::string> keys;
    const shard_id shard = shard_of(claim_digest("reservas", "k0"));
    for (int number = 0; keys.size() < 5; ++number) {
        const std::string key = "k" + std::to_string(number);
        if (shard_of(claim_digest("reservas", key)) == shard)
            keys.push_back(key);
    }
    for (std::size_t number = 0; number < keys.size(); ++number)
        daemon_a.call(number, keys[number], now);
    daemon_a.call(9, keys[0], now);
    CHECK(daemon_a.reads.size() == 1);
    daemon_a.complete_store_calls(store, now);
    CHECK(store.last_index == 1);
    CHECK(daemon_a.admitted.size() == 5);
    REQUIRE(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.refusals[0].request == static_cast<claim_request_id>(9));
}

TEST_CASE("a lost reply to a write is resolved by the next read")
{
    const bool took_effect = GENERATE(true, false);
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    const auto reads = std::exchange(daemon_a.reads, {});
    daemon_a.execute(daemon_a.machine.on_read(reads[0].shard, "", {}, now));
    const auto writes = std::exchange(daemon_a.writes, {});
    REQUIRE(writes.size() == 1);
    if (took_effect)
        store.swap(writes[0]);
    daemon_a.execute(
        daemon_a.machine.on_write(writes[0].shard, write_result::unknown, now));
    CHECK(daemon_a.admitted.empty());
    const instant after = later(now, support::milliseconds(100));
    daemon_a.execute(daemon_a.machine.on_tick(after));
    daemon_a.complete_store_calls(store, after);
    CHECK(daemon_a.admitted == std::vector<claim_request_id>{first_request});
    // The first write fails if it reaches the store later.
    if (!took_effect)
        CHECK_FALSE(store.swap(writes[0]));
}

TEST_CASE("a delayed write cannot create a claim that was already refused")
{
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    const auto reads = std::exchange(daemon_a.reads, {});
    daemon_a.execute(daemon_a.machine.on_read(reads[0].shard, "", {}, now));
    const auto delayed = std::exchange(daemon_a.writes, {});
    daemon_a.execute(daemon_a.machine.on_write(delayed[0].shard,
                                               write_result::unknown, now));
    const instant after = later(now, support::milliseconds(1001));
    daemon_a.execute(daemon_a.machine.on_tick(after));
    REQUIRE(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.refusals[0].refusal.outcome == run_outcome::not_run);
    daemon_a.complete_store_calls(store, after);
    CHECK_FALSE(daemon_a.machine.pending());
    CHECK_FALSE(store.swap(delayed[0]));
    daemon_a.call(2, "k", after);
    daemon_a.complete_store_calls(store, after);
    CHECK(daemon_a.admitted ==
          std::vector<claim_request_id>{static_cast<claim_request_id>(2)});
}

TEST_CASE("releasing a refused claim keeps another daemon's claim on the key")
{
    fake_store store;
    daemon daemon_a("one");
    daemon daemon_b("other");
    const instant now = start();
    daemon_a.call(1, "k", now);
    daemon_a.execute(
        daemon_a.machine.on_read(daemon_a.reads.at(0).shard, "", {}, now));
    daemon_a.reads.clear();
    const auto lost = std::exchange(daemon_a.writes, {});
    daemon_a.execute(
        daemon_a.machine.on_write(lost[0].shard, write_result::unknown, now));
    daemon_b.call(1, "k", now);
    daemon_b.complete_store_calls(store, now);
    REQUIRE(daemon_b.admitted == std::vector<claim_request_id>{first_request});
    const instant after = later(now, support::milliseconds(1001));
    daemon_a.execute(daemon_a.machine.on_tick(after));
    daemon_a.complete_store_calls(store, after);
    daemon_a.call(2, "k", after);
    daemon_a.complete_store_calls(store, after);
    CHECK(daemon_a.admitted.empty());
    CHECK(daemon_a.refusals.back().refusal.kind ==
          refusal_kind::already_running);
}

TEST_CASE("a call is refused as not run at once while the store is "
          "unavailable")
{
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    const bool reads_fail = GENERATE(true, false);
    const shard_id shard = daemon_a.reads.at(0).shard;
    if (reads_fail) {
        daemon_a.execute(daemon_a.machine.on_read_failed(shard, now));
    } else {
        daemon_a.execute(daemon_a.machine.on_read(shard, "", {}, now));
        daemon_a.execute(
            daemon_a.machine.on_write(shard, write_result::not_sent, now));
    }
    REQUIRE(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.refusals[0].refusal.kind == refusal_kind::store_unavailable);
    CHECK(daemon_a.refusals[0].refusal.outcome == run_outcome::not_run);
    CHECK_FALSE(daemon_a.machine.pending());
}

TEST_CASE("a claim that is written after its deadline is released")
{
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now, support::milliseconds(10));
    // The process was paused, so that on_tick was not called in between.
    const instant resumed = later(now, support::milliseconds(60'000));
    daemon_a.complete_store_calls(store, resumed);
    CHECK(daemon_a.admitted.empty());
    REQUIRE(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.refusals[0].refusal.kind == refusal_kind::deadline_exceeded);
    daemon_a.call(2, "k", resumed);
    daemon_a.complete_store_calls(store, resumed);
    CHECK(daemon_a.admitted ==
          std::vector<claim_request_id>{static_cast<claim_request_id>(2)});
}

TEST_CASE("a key stays free if the caller disconnects before the claim is "
          "written")
{
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    daemon_a.execute(
        daemon_a.machine.on_read(daemon_a.reads.at(0).shard, "", {}, now));
    daemon_a.reads.clear();
    daemon_a.execute(daemon_a.machine.on_abandoned(first_request, now));
    daemon_a.complete_store_calls(store, now);
    CHECK(daemon_a.admitted.empty());
    daemon_a.call(2, "k", now);
    daemon_a.complete_store_calls(store, now);
    CHECK(daemon_a.admitted ==
          std::vector<claim_request_id>{static_cast<claim_request_id>(2)});
}

TEST_CASE("claims expire after the retention time plus the maximum clock skew")
{
    struct row
    {
        std::uint64_t after_ms;
        bool admitted;
    };
    const auto& [after_ms, admitted] = GENERATE(values<row>({
        {3'600'000, false},
        {3'659'000, false},
        {3'660'000, true},
    }));
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    daemon_a.complete_store_calls(store, now);
    const instant after =
        later(now, support::milliseconds(static_cast<long>(after_ms)));
    daemon daemon_b("other");
    daemon_b.call(1, "k", after);
    daemon_b.complete_store_calls(store, after);
    CHECK((daemon_b.admitted.size() == 1) == admitted);
}

TEST_CASE("a full shard accepts no new claim and drops none before it expires")
{
    fake_store store;
    const instant now = start();
    claim_shard full;
    const std::string digest = claim_digest("reservas", "k");
    claim_record record;
    record.expires_ms = now.wall_ms + 1000;
    std::size_t count = 0;
    while (full.encode("x").size() < max_shard_bytes_for_claims) {
        for (int more = 0; more < 200; ++more) {
            record.token = "other-" + std::to_string(++count);
            full.put(claim_digest("other", record.token), record);
        }
    }
    store.values[shard_of(digest)] = {full.encode("x"), 7};
    daemon daemon_a("one");
    daemon_a.call(1, "k", now);
    daemon_a.complete_store_calls(store, now);
    REQUIRE(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.refusals[0].refusal.kind == refusal_kind::store_unavailable);
    CHECK(store.values[shard_of(digest)].index.number == 7);
    const instant after = later(now, support::milliseconds(61'000));
    daemon_a.call(2, "k", after);
    daemon_a.complete_store_calls(store, after);
    CHECK(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.admitted.size() == 1);
}

TEST_CASE("a value of an unknown format is not overwritten")
{
    fake_store store;
    const instant now = start();
    const shard_id shard = shard_of(claim_digest("reservas", "k"));
    store.values[shard] = {"not CBOR", 3};
    daemon daemon_a("one");
    daemon_a.call(1, "k", now);
    daemon_a.complete_store_calls(store, now);
    REQUIRE(daemon_a.refusals.size() == 1);
    CHECK(daemon_a.refusals[0].refusal.kind == refusal_kind::store_unavailable);
    CHECK(store.values[shard].index.number == 3);
}

TEST_CASE("a response body is recorded up to the size limit")
{
    const std::size_t size = GENERATE(as<std::size_t>{}, max_kept_body_bytes,
                                      max_kept_body_bytes + 1);
    fake_store store;
    daemon daemon_a("one");
    const instant now = start();
    daemon_a.call(1, "k", now);
    daemon_a.complete_store_calls(store, now);
    daemon_a.execute(daemon_a.machine.on_outcome(
        first_request, answered(200, std::string(size, '\xff')), now));
    daemon_a.complete_store_calls(store, now);
    daemon_a.call(2, "k", now);
    daemon_a.complete_store_calls(store, now);
    REQUIRE(daemon_a.replays.size() == 1);
    CHECK(daemon_a.replays[0].response.status == 200);
    CHECK(daemon_a.replays[0].response.body_kept ==
          (size <= max_kept_body_bytes));
}

TEST_CASE("a key runs at most once despite store failures and daemon restarts")
{
    CHECK(rc::check([] {
        fake_store store;
        std::vector<daemon> daemons;
        for (int number = 0; number < 3; ++number)
            daemons.emplace_back("daemon-" + std::to_string(number));
        std::map<std::string, int> runs;
        std::map<std::uint64_t, std::string> key_of;
        std::set<std::uint64_t> refused_not_run;
        std::vector<write_shard> delayed;
        std::uint64_t last_request = 0;
        instant now = start();
        const auto steps =
            *rc::gen::container<std::vector<std::pair<int, int>>>(
                steps_per_session,
                rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 3)));
        const auto collect = [&](daemon& source) {
            for (const claim_request_id request :
                 std::exchange(source.admitted, {})) {
                const auto id = static_cast<std::uint64_t>(request);
                RC_ASSERT(!refused_not_run.contains(id));
                if (id % 3 == 0) {
                    // The gate refused the call: it did not run.
                    source.execute(source.machine.on_outcome(
                        request,
                        outcome_with_result(call_outcome::kind::not_run), now));
                    continue;
                }
                // The other calls run; the end of some is never reported.
                ++runs[key_of.at(id)];
                RC_ASSERT(runs[key_of.at(id)] <= 1);
                if (id % 2 == 0)
                    source.execute(source.machine.on_outcome(
                        request, answered(200, "x"), now));
            }
            for (const refuse_claim& refused :
                 std::exchange(source.refusals, {})) {
                if (refused.refusal.outcome == run_outcome::not_run)
                    refused_not_run.insert(
                        static_cast<std::uint64_t>(refused.request));
            }
            for (const replay& replayed : std::exchange(source.replays, {})) {
                RC_ASSERT(runs[key_of.at(static_cast<std::uint64_t>(
                              replayed.request))] == 1);
            }
        };
        for (const auto& [step, daemon_index] : steps) {
            daemon& chosen = daemons.at(static_cast<std::size_t>(daemon_index));
            now = later(now, support::milliseconds(7));
            if (step < 4) {
                // 0-3: a call arrives.
                ++last_request;
                key_of[last_request] =
                    "k" + std::to_string(last_request / calls_per_key);
                chosen.call(last_request, key_of[last_request], now,
                            support::milliseconds(80));
            } else if (step < 6 && !chosen.reads.empty()) {
                // 4: a read succeeds; 5: a read fails.
                const read_shard read = chosen.reads.front();
                chosen.reads.erase(chosen.reads.begin());
                const auto& stored = store.values[read.shard];
                chosen.execute(
                    step == 4 ? chosen.machine.on_read(read.shard, stored.value,
                                                       stored.index, now)
                              : chosen.machine.on_read_failed(read.shard, now));
            } else if (step < 10 && !chosen.writes.empty()) {
                // 6: the store answers the write; 7: the write reaches the
                // store, but its reply is lost; 8: the same, but the write may
                // reach the store only later; 9: the write is not sent.
                const write_shard write = chosen.writes.front();
                chosen.writes.erase(chosen.writes.begin());
                write_result result = write_result::not_sent;
                if (step == 6)
                    result = store.swap(write) ? write_result::swapped
                                               : write_result::index_mismatch;
                if (step == 7) {
                    store.swap(write);
                    result = write_result::unknown;
                }
                if (step == 8) {
                    delayed.push_back(write);
                    result = write_result::unknown;
                }
                chosen.execute(
                    chosen.machine.on_write(write.shard, result, now));
            } else if (step == 10 && !delayed.empty()) {
                // 10: a delayed write reaches the store.
                store.swap(delayed.back());
                delayed.pop_back();
            } else if (step == 11) {
                // 11: the daemon crashes and a new one replaces it.
                chosen = daemon("restarted-" + std::to_string(++last_request));
            } else {
                // 12, 13, and the steps above if nothing is in flight: a tick.
                chosen.execute(chosen.machine.on_tick(now));
            }
            collect(chosen);
        }
        // Once the store works again, every call gets its decision.
        now = later(now, support::milliseconds(10'000));
        for (daemon& surviving : daemons) {
            for (int round = 0; round < 3; ++round) {
                surviving.execute(surviving.machine.on_tick(now));
                surviving.complete_store_calls(store, now);
                collect(surviving);
                now = later(now, support::milliseconds(10'000));
            }
            RC_ASSERT(!surviving.machine.pending());
        }
    }));
}

} // namespace galenarudder::once
