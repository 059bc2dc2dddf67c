// The claim machine against a fake store that loses, delays and fails.
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

/// The store's values and what happened to them.
struct fake_store
{
    struct entry
    {
        std::string value;
        std::uint64_t index = 0;
    };
    std::map<shard_id, entry> entries;
    std::uint64_t last_index = 0;

    bool swap(const write_shard& write)
    {
        entry& held = entries[write.shard];
        if (held.index != write.expected_index)
            return false;
        held.value = write.value;
        held.index = ++last_index;
        return true;
    }
};

/// One daemon: a machine, the store calls it has in flight, its calls.
struct daemon
{
    explicit daemon(std::string name) : machine(std::move(name), retention) {}

    claims machine;
    std::vector<read_shard> reads;
    std::vector<write_shard> writes;
    std::vector<ticket> admitted;
    std::vector<replay> replays;
    std::vector<refuse_claim> refusals;

    void take(const std::vector<claim_action>& actions)
    {
        for (const claim_action& action : actions) {
            if (const auto* read = std::get_if<read_shard>(&action))
                reads.push_back(*read);
            else if (const auto* write = std::get_if<write_shard>(&action))
                writes.push_back(*write);
            else if (const auto* go = std::get_if<admit>(&action))
                admitted.push_back(go->who);
            else if (const auto* again = std::get_if<replay>(&action))
                replays.push_back(*again);
            else
                refusals.push_back(std::get<refuse_claim>(action));
        }
    }

    void call(std::uint64_t who,
              const std::string& key,
              const instant& at,
              support::duration left = std::chrono::seconds(1))
    {
        claim_request request;
        request.who = static_cast<ticket>(who);
        request.service = "reservas";
        request.key = key;
        request.deadline = at.now + left;
        take(machine.on_call(request, at));
    }

    /// Serves store calls until none is in flight.
    void settle(fake_store& store, const instant& at)
    {
        while (!reads.empty() || !writes.empty()) {
            const auto asked = std::exchange(reads, {});
            for (const read_shard& read : asked) {
                const auto& held = store.entries[read.shard];
                take(machine.on_read(read.shard, held.value, held.index, at));
            }
            const auto sent = std::exchange(writes, {});
            for (const write_shard& write : sent) {
                const bool swapped = store.swap(write);
                take(machine.on_write(write.shard,
                                      swapped ? write_result::swapped
                                              : write_result::index_mismatch,
                                      at));
            }
        }
    }
};

call_outcome answered(unsigned status, std::string body)
{
    call_outcome outcome;
    outcome.how = call_outcome::kind::answered;
    outcome.answer = {status, "text/plain", std::move(body), true};
    return outcome;
}

call_outcome ended(call_outcome::kind how)
{
    call_outcome outcome;
    outcome.how = how;
    return outcome;
}

instant start()
{
    return {support::time_point(std::chrono::hours(1)), wall_start_ms};
}

instant later(instant at, support::milliseconds span)
{
    at.now += span;
    at.wall_ms += static_cast<std::uint64_t>(span.count());
    return at;
}

constexpr auto first = static_cast<ticket>(1);
/// Of the random sessions.
constexpr std::size_t steps_of_session = 300;
constexpr std::uint64_t calls_per_key = 5;

} // namespace

TEST_CASE("a second call with the key gets 409, then the recorded outcome")
{
    fake_store store;
    daemon one("one");
    daemon other("other");
    const instant at = start();
    one.call(1, "k", at);
    one.settle(store, at);
    REQUIRE(one.admitted == std::vector<ticket>{first});
    other.call(1, "k", at);
    other.settle(store, at);
    REQUIRE(other.refusals.size() == 1);
    CHECK(other.refusals[0].why.kind == refusal_kind::already_running);
    CHECK(other.refusals[0].why.outcome == run_outcome::unknown);
    one.take(one.machine.on_outcome(first, answered(201, "booked"), at));
    one.settle(store, at);
    CHECK_FALSE(one.machine.pending());
    other.call(2, "k", at);
    other.settle(store, at);
    REQUIRE(other.replays.size() == 1);
    CHECK(other.replays[0].answer.status == 201);
    CHECK(other.replays[0].answer.body == "booked");
    CHECK(other.admitted.empty());
}

TEST_CASE("what a second call gets depends on how the first one ended")
{
    struct row
    {
        call_outcome::kind how;
        bool admitted;
    };
    const auto& [how, admitted] =
        GENERATE(values<row>({{call_outcome::kind::not_run, true},
                              {call_outcome::kind::unknown, false}}));
    fake_store store;
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    one.settle(store, at);
    one.take(one.machine.on_outcome(first, ended(how), at));
    one.settle(store, at);
    one.call(2, "k", at);
    one.settle(store, at);
    CHECK((one.admitted.size() == 2) == admitted);
    CHECK(one.refusals.size() == (admitted ? 0 : 1));
    if (!admitted)
        CHECK(one.refusals[0].why.outcome == run_outcome::unknown);
}

TEST_CASE("calls that wait at one daemon share one write of their shard")
{
    fake_store store;
    daemon one("one");
    const instant at = start();
    // The first read is in flight while the others arrive.
    std::vector<std::string> keys;
    const shard_id shard = shard_of(claim_digest("reservas", "k0"));
    for (int number = 0; keys.size() < 5; ++number) {
        const std::string key = "k" + std::to_string(number);
        if (shard_of(claim_digest("reservas", key)) == shard)
            keys.push_back(key);
    }
    for (std::size_t number = 0; number < keys.size(); ++number)
        one.call(number, keys[number], at);
    one.call(9, keys[0], at);
    CHECK(one.reads.size() == 1);
    one.settle(store, at);
    CHECK(store.last_index == 1);
    CHECK(one.admitted.size() == 5);
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals[0].who == static_cast<ticket>(9));
}

TEST_CASE("a lost answer is resolved by reading back")
{
    const bool took_effect = GENERATE(true, false);
    fake_store store;
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    const auto reads = std::exchange(one.reads, {});
    one.take(one.machine.on_read(reads[0].shard, "", 0, at));
    const auto writes = std::exchange(one.writes, {});
    REQUIRE(writes.size() == 1);
    if (took_effect)
        store.swap(writes[0]);
    one.take(one.machine.on_write(writes[0].shard, write_result::unknown, at));
    CHECK(one.admitted.empty());
    const instant after = later(at, support::milliseconds(100));
    one.take(one.machine.on_tick(after));
    one.settle(store, after);
    CHECK(one.admitted == std::vector<ticket>{first});
    // The first write, late, changes nothing any more.
    if (!took_effect)
        CHECK_FALSE(store.swap(writes[0]));
}

TEST_CASE("a claim given up cannot be written by a delayed write later")
{
    fake_store store;
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    const auto reads = std::exchange(one.reads, {});
    one.take(one.machine.on_read(reads[0].shard, "", 0, at));
    const auto delayed = std::exchange(one.writes, {});
    one.take(one.machine.on_write(delayed[0].shard, write_result::unknown, at));
    const instant after = later(at, support::milliseconds(1001));
    one.take(one.machine.on_tick(after));
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals[0].why.outcome == run_outcome::not_run);
    one.settle(store, after);
    CHECK_FALSE(one.machine.pending());
    CHECK_FALSE(store.swap(delayed[0]));
    one.call(2, "k", after);
    one.settle(store, after);
    CHECK(one.admitted == std::vector<ticket>{static_cast<ticket>(2)});
}

TEST_CASE("a claim given up leaves the claim of another daemon alone")
{
    fake_store store;
    daemon one("one");
    daemon other("other");
    const instant at = start();
    one.call(1, "k", at);
    one.take(one.machine.on_read(one.reads.at(0).shard, "", 0, at));
    one.reads.clear();
    const auto lost = std::exchange(one.writes, {});
    one.take(one.machine.on_write(lost[0].shard, write_result::unknown, at));
    other.call(1, "k", at);
    other.settle(store, at);
    REQUIRE(other.admitted == std::vector<ticket>{first});
    const instant after = later(at, support::milliseconds(1001));
    one.take(one.machine.on_tick(after));
    one.settle(store, after);
    one.call(2, "k", after);
    one.settle(store, after);
    CHECK(one.admitted.empty());
    CHECK(one.refusals.back().why.kind == refusal_kind::already_running);
}

TEST_CASE("a store that is down refuses at once as not run")
{
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    const bool reads_fail = GENERATE(true, false);
    const shard_id shard = one.reads.at(0).shard;
    if (reads_fail) {
        one.take(one.machine.on_read_failed(shard, at));
    } else {
        one.take(one.machine.on_read(shard, "", 0, at));
        one.take(one.machine.on_write(shard, write_result::not_sent, at));
    }
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals[0].why.kind == refusal_kind::store_unavailable);
    CHECK(one.refusals[0].why.outcome == run_outcome::not_run);
    CHECK_FALSE(one.machine.pending());
}

TEST_CASE("a claim written after its deadline is taken back")
{
    fake_store store;
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at, support::milliseconds(10));
    // The process was paused: no tick came between.
    const instant woken = later(at, support::milliseconds(60'000));
    one.settle(store, woken);
    CHECK(one.admitted.empty());
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals[0].why.kind == refusal_kind::deadline_exceeded);
    one.call(2, "k", woken);
    one.settle(store, woken);
    CHECK(one.admitted == std::vector<ticket>{static_cast<ticket>(2)});
}

TEST_CASE("a caller that goes away before its claim leaves the key free")
{
    fake_store store;
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    one.take(one.machine.on_read(one.reads.at(0).shard, "", 0, at));
    one.reads.clear();
    one.take(one.machine.on_abandoned(first, at));
    one.settle(store, at);
    CHECK(one.admitted.empty());
    one.call(2, "k", at);
    one.settle(store, at);
    CHECK(one.admitted == std::vector<ticket>{static_cast<ticket>(2)});
}

TEST_CASE("claims expire after the retention and an allowance for skew")
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
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    one.settle(store, at);
    const instant after =
        later(at, support::milliseconds(static_cast<long>(after_ms)));
    daemon other("other");
    other.call(1, "k", after);
    other.settle(store, after);
    CHECK((other.admitted.size() == 1) == admitted);
}

TEST_CASE("a full value refuses new claims and forgets none")
{
    fake_store store;
    const instant at = start();
    claim_shard full;
    const std::string digest = claim_digest("reservas", "k");
    claim_record record;
    record.expires_ms = at.wall_ms + 1000;
    std::size_t count = 0;
    while (full.encode("x").size() < full_shard_bytes) {
        for (int more = 0; more < 200; ++more) {
            record.token = "other-" + std::to_string(++count);
            full.put(claim_digest("other", record.token), record);
        }
    }
    store.entries[shard_of(digest)] = {full.encode("x"), 7};
    daemon one("one");
    one.call(1, "k", at);
    one.settle(store, at);
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals[0].why.kind == refusal_kind::store_unavailable);
    CHECK(store.entries[shard_of(digest)].index == 7);
    const instant after = later(at, support::milliseconds(61'000));
    one.call(2, "k", after);
    one.settle(store, after);
    CHECK(one.refusals.size() == 1);
    CHECK(one.admitted.size() == 1);
}

TEST_CASE("a value with another format is not written over")
{
    fake_store store;
    const instant at = start();
    const shard_id shard = shard_of(claim_digest("reservas", "k"));
    store.entries[shard] = {"not CBOR", 3};
    daemon one("one");
    one.call(1, "k", at);
    one.settle(store, at);
    REQUIRE(one.refusals.size() == 1);
    CHECK(one.refusals[0].why.kind == refusal_kind::store_unavailable);
    CHECK(store.entries[shard].index == 3);
}

TEST_CASE("an outcome keeps its body up to the bound")
{
    const std::size_t size = GENERATE(as<std::size_t>{}, max_kept_body_bytes,
                                      max_kept_body_bytes + 1);
    fake_store store;
    daemon one("one");
    const instant at = start();
    one.call(1, "k", at);
    one.settle(store, at);
    one.take(one.machine.on_outcome(
        first, answered(200, std::string(size, '\xff')), at));
    one.settle(store, at);
    one.call(2, "k", at);
    one.settle(store, at);
    REQUIRE(one.replays.size() == 1);
    CHECK(one.replays[0].answer.status == 200);
    CHECK(one.replays[0].answer.body_kept == (size <= max_kept_body_bytes));
}

TEST_CASE("a key runs at most once whatever the store and daemons do")
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
        std::uint64_t last_ticket = 0;
        instant at = start();
        const auto steps =
            *rc::gen::container<std::vector<std::pair<int, int>>>(
                steps_of_session,
                rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 3)));
        const auto collect = [&](daemon& of) {
            for (const ticket who : std::exchange(of.admitted, {})) {
                const auto id = static_cast<std::uint64_t>(who);
                RC_ASSERT(!refused_not_run.contains(id));
                if (id % 3 == 0) {
                    // Refused by the gate: it did not run.
                    of.take(of.machine.on_outcome(
                        who, ended(call_outcome::kind::not_run), at));
                    continue;
                }
                // The others run; some never report their end.
                ++runs[key_of.at(id)];
                RC_ASSERT(runs[key_of.at(id)] <= 1);
                if (id % 2 == 0)
                    of.take(of.machine.on_outcome(who, answered(200, "x"), at));
            }
            for (const refuse_claim& why : std::exchange(of.refusals, {})) {
                if (why.why.outcome == run_outcome::not_run)
                    refused_not_run.insert(static_cast<std::uint64_t>(why.who));
            }
            for (const replay& again : std::exchange(of.replays, {})) {
                RC_ASSERT(
                    runs[key_of.at(static_cast<std::uint64_t>(again.who))] ==
                    1);
            }
        };
        for (const auto& [what, which] : steps) {
            daemon& chosen = daemons.at(static_cast<std::size_t>(which));
            at = later(at, support::milliseconds(7));
            if (what < 4) {
                ++last_ticket;
                key_of[last_ticket] =
                    "k" + std::to_string(last_ticket / calls_per_key);
                chosen.call(last_ticket, key_of[last_ticket], at,
                            support::milliseconds(80));
            } else if (what < 6 && !chosen.reads.empty()) {
                const read_shard read = chosen.reads.front();
                chosen.reads.erase(chosen.reads.begin());
                const auto& held = store.entries[read.shard];
                chosen.take(
                    what == 4 ? chosen.machine.on_read(read.shard, held.value,
                                                       held.index, at)
                              : chosen.machine.on_read_failed(read.shard, at));
            } else if (what < 10 && !chosen.writes.empty()) {
                const write_shard write = chosen.writes.front();
                chosen.writes.erase(chosen.writes.begin());
                write_result how = write_result::not_sent;
                if (what == 6)
                    how = store.swap(write) ? write_result::swapped
                                            : write_result::index_mismatch;
                if (what == 7) {
                    store.swap(write);
                    how = write_result::unknown;
                }
                if (what == 8) {
                    delayed.push_back(write);
                    how = write_result::unknown;
                }
                chosen.take(chosen.machine.on_write(write.shard, how, at));
            } else if (what == 10 && !delayed.empty()) {
                store.swap(delayed.back());
                delayed.pop_back();
            } else if (what == 11) {
                // The daemon dies; another takes its place.
                chosen = daemon("reborn-" + std::to_string(++last_ticket));
            } else {
                chosen.take(chosen.machine.on_tick(at));
            }
            collect(chosen);
        }
        // Once the store is well, every call is decided.
        at = later(at, support::milliseconds(10'000));
        for (daemon& each : daemons) {
            for (int round = 0; round < 3; ++round) {
                each.take(each.machine.on_tick(at));
                each.settle(store, at);
                collect(each);
                at = later(at, support::milliseconds(10'000));
            }
            RC_ASSERT(!each.machine.pending());
        }
    }));
}

} // namespace galenarudder::once
