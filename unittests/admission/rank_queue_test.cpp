// Order, minimum shares and reserved places of the rank queue.
#include "galenarudder/admission/rank_queue.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <map>
#include <set>

namespace galenarudder::admission {

namespace {

const std::vector<config::rank_policy> three_ranks = {
    {"urgent", 0, 1}, {"normal", 0.10, 0}, {"bulk", 0.05, 0}};

attempt make_attempt(std::uint64_t id, std::string rank)
{
    attempt call;
    call.key = {1, static_cast<support::attempt_id>(id)};
    call.rank = std::move(rank);
    return call;
}

bool any_rank(std::size_t)
{
    return true;
}

rank_queue make_queue(std::size_t capacity)
{
    rank_queue queue;
    queue.configure(three_ranks, capacity, support::milliseconds(1000));
    return queue;
}

} // namespace

TEST_CASE("calls leave by rank, and within a rank in order of arrival")
{
    rank_queue queue = make_queue(10);
    queue.push(make_attempt(1, "bulk"));
    queue.push(make_attempt(2, "undefined"));
    queue.push(make_attempt(3, "normal"));
    queue.push(make_attempt(4, "urgent"));
    queue.push(make_attempt(5, "urgent"));
    std::vector<std::uint64_t> order;
    while (const auto next = queue.pop(any_rank))
        order.push_back(static_cast<std::uint64_t>(next->key.id));
    CHECK(order == std::vector<std::uint64_t>{4, 5, 3, 1, 2});
}

TEST_CASE("a full queue drops the newest call of the least urgent rank that "
          "exceeds its reserved places")
{
    struct row
    {
        std::string name;
        std::vector<std::string> waiting;
        std::string arriving;
        std::uint64_t dropped;
    };
    // In a queue of 4, one place is reserved for normal and one for bulk.
    const auto& [name, waiting, arriving, dropped] = GENERATE(values<row>({
        {"urgent displaces bulk",
         {"bulk", "bulk", "bulk", "bulk"},
         "urgent",
         4},
        {"bulk does not displace normal",
         {"normal", "normal", "normal", "bulk"},
         "bulk",
         5},
        {"bulk takes its reserved place",
         {"urgent", "urgent", "urgent", "urgent"},
         "bulk",
         4},
        {"urgent does not take reserved places",
         {"urgent", "urgent", "normal", "bulk"},
         "urgent",
         5},
        {"an unknown rank has no reserved place",
         {"urgent", "urgent", "urgent", "undefined"},
         "bulk",
         4},
    }));
    CAPTURE(name);
    rank_queue queue = make_queue(4);
    std::uint64_t id = 0;
    for (const std::string& rank : waiting)
        queue.push(make_attempt(++id, rank));
    CHECK_FALSE(queue.drop_overflow());
    queue.push(make_attempt(++id, arriving));
    const auto removed = queue.drop_overflow();
    REQUIRE(removed);
    CHECK(static_cast<std::uint64_t>(removed->key.id) == dropped);
    CHECK_FALSE(queue.drop_overflow());
}

TEST_CASE("waiting calls move with their rank when the ranks change")
{
    rank_queue queue = make_queue(10);
    queue.push(make_attempt(1, "normal"));
    queue.push(make_attempt(2, "bulk"));
    queue.push(make_attempt(3, "normal"));
    queue.charge("normal", 4, 9);
    const std::vector<config::rank_policy> changed = {{"bulk", 0, 0},
                                                      {"urgent", 0, 0}};
    queue.configure(changed, 10, support::milliseconds(1000));
    CHECK(queue.size() == 3);
    CHECK(queue.running(queue.rank_of("normal")) == 1);
    queue.release("normal", 4, 4, 9);
    CHECK(queue.running() == 0);
    std::vector<std::uint64_t> order;
    while (const auto next = queue.pop(any_rank))
        order.push_back(static_cast<std::uint64_t>(next->key.id));
    CHECK(order == std::vector<std::uint64_t>{2, 1, 3});
}

TEST_CASE("a running call is counted for its rank when the ranks change")
{
    const std::vector<config::rank_policy> none;
    using changes = std::vector<std::vector<config::rank_policy>>;
    const auto [name, ranks] = GENERATE_COPY(table<std::string, changes>({
        {"its rank becomes known", changes{none, three_ranks}},
        {"its rank is removed", changes{three_ranks, none}},
        {"its rank is removed and added again",
         changes{three_ranks, none, three_ranks}},
    }));
    CAPTURE(name);
    rank_queue queue;
    queue.configure(ranks.front(), 10, support::milliseconds(1000));
    queue.charge("normal", 4, 9);
    queue.charge("unknown", 4, 9);
    for (const auto& changed : ranks)
        queue.configure(changed, 10, support::milliseconds(1000));
    CHECK(queue.running() == 2);
    CHECK(queue.running(queue.rank_of("normal")) ==
          (ranks.back().empty() ? 2 : 1));
    queue.release("normal", 4, 4, 9);
    CHECK(queue.running() == 1);
    CHECK(queue.running(queue.rank_of("unknown")) == 1);
    queue.release("unknown", 4, 4, 9);
    CHECK(queue.running() == 0);
}

TEST_CASE("each rank with waiting calls gets at least its minimum share minus "
          "the time of two calls")
{
    CHECK(rc::check([] {
        const auto normal_share = *rc::gen::inRange(0, 40) / 100.0;
        const auto bulk_share = *rc::gen::inRange(1, 40) / 100.0;
        const auto starts = *rc::gen::inRange(1, 2000);
        const std::vector<config::rank_policy> ranks = {
            {"urgent", 0, 0},
            {"normal", normal_share, 0},
            {"bulk", bulk_share, 0}};
        const std::array<double, 3> cost_ms = {*rc::gen::inRange(1, 50) * 1.0,
                                               *rc::gen::inRange(1, 50) * 1.0,
                                               *rc::gen::inRange(1, 50) * 1.0};
        rank_queue queue;
        queue.configure(ranks, 1000, support::milliseconds(1000));
        std::uint64_t id = 0;
        for (const auto& rank : ranks)
            queue.push(make_attempt(++id, rank.name));
        std::array<double, 3> served_ms{};
        double total_ms = 0;
        const double highest_cost_ms =
            *std::max_element(cost_ms.begin(), cost_ms.end());
        for (int count = 0; count < starts; ++count) {
            const auto next = queue.pop(any_rank);
            RC_ASSERT(next);
            const std::size_t rank = queue.rank_of(next->rank);
            queue.push(make_attempt(++id, next->rank));
            queue.charge(next->rank, cost_ms.at(rank), 9);
            queue.release(next->rank, cost_ms.at(rank), cost_ms.at(rank), 9);
            served_ms.at(rank) += cost_ms.at(rank);
            total_ms += cost_ms.at(rank);
            for (std::size_t lower = 1; lower < 3; ++lower) {
                // Each of the other ranks may be served between two calls of
                // this one.
                RC_ASSERT(served_ms.at(lower) >=
                          ranks[lower].minimum_share * total_ms -
                              2 * highest_cost_ms);
            }
        }
    }));
}

TEST_CASE("every pushed call leaves once, in order within its rank")
{
    CHECK(rc::check([] {
        rank_queue queue = make_queue(8);
        const auto steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
        std::uint64_t pushed = 0;
        std::set<std::uint64_t> removed_ids;
        std::map<std::string, std::uint64_t> last_started;
        const auto record_removal = [&](const attempt& removed) {
            RC_ASSERT(
                removed_ids.insert(static_cast<std::uint64_t>(removed.key.id))
                    .second);
        };
        for (const int step : steps) {
            if (step < 3) {
                queue.push(make_attempt(++pushed, three_ranks.at(step).name));
                while (const auto dropped = queue.drop_overflow())
                    record_removal(*dropped);
            } else if (step < 5) {
                const auto next = queue.pop(any_rank);
                if (!next)
                    continue;
                record_removal(*next);
                const auto id = static_cast<std::uint64_t>(next->key.id);
                RC_ASSERT(id > last_started[next->rank]);
                last_started[next->rank] = id;
            } else {
                const auto has_odd_id = [](const attempt& queued) {
                    return static_cast<std::uint64_t>(queued.key.id) % 2 == 1;
                };
                for (const attempt& removed : queue.remove_if(has_odd_id))
                    record_removal(removed);
            }
            RC_ASSERT(queue.size() + removed_ids.size() == pushed);
            RC_ASSERT(queue.size() <= 8U);
        }
    }));
}

} // namespace galenarudder::admission
