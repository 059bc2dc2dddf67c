// The simulated clock: order of events, and that each event is destroyed once
// although its slot is used again.
#include "../../tools/galenarudder-replay/timeline.hpp"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace galenarudder;

TEST_CASE("events run by time, then in the order of scheduling", "[timeline]")
{
    replay::timeline clock;
    std::string order;
    const auto write = [&order](char letter) {
        return [&order, letter] { order += letter; };
    };
    clock.after(2, write('d'));
    clock.after(1, [&] {
        order += 'a';
        // Uses a slot while the event in another one runs.
        clock.after(0, write('c'));
        clock.after(5, write('f'));
        clock.after(1, write('e'));
    });
    clock.after(1, write('b'));
    const auto begin = clock.now();
    while (!clock.empty())
        clock.run_next();
    CHECK(order == "abcdef");
    CHECK(clock.now() - begin == support::from_ms(6));
}

TEST_CASE("events are destroyed once, whether they ran or not", "[timeline]")
{
    const auto held = std::make_shared<int>(0);
    {
        replay::timeline clock;
        for (int round = 0; round < 3; ++round) {
            for (int number = 0; number < 4; ++number)
                clock.after(number, [held] { ++*held; });
            clock.run_next();
            clock.run_next();
        }
        CHECK(*held == 6);
        CHECK(held.use_count() == 7);
    }
    CHECK(held.use_count() == 1);
}
