// The state is local to each thread; other threads are not affected.
#include "galenarudder/support/pause_point.hpp"

#include <thread>

namespace galenarudder::support {

namespace {

constexpr milliseconds pause_length{1};

thread_local bool in_background = false;
thread_local time_point turn_begin{};

} // namespace

background_scope::background_scope()
{
    in_background = true;
    turn_begin = monotonic_clock::now();
}

background_scope::~background_scope()
{
    in_background = false;
}

void pause_point()
{
    if (!in_background ||
        monotonic_clock::now() - turn_begin < max_background_turn)
        return;
    std::this_thread::sleep_for(pause_length);
    turn_begin = monotonic_clock::now();
}

} // namespace galenarudder::support
