/// \file
/// Lets long background work give way to the event loop. The system's scheduler
/// alone is not enough where a process gets a small share of a core: a thread
/// may then keep all of it for longer than callers may wait.
#pragma once

#include "galenarudder/support/time.hpp"

namespace galenarudder::support {

/// The longest that background work runs between two pauses.
inline constexpr milliseconds max_background_turn{2};

/// While it lives, pause_point() takes effect on the calling thread.
class background_scope
{
public:
    background_scope();
    ~background_scope();
    background_scope(const background_scope&) = delete;
    background_scope& operator=(const background_scope&) = delete;
};

/// Pauses the calling thread if it has run for max_background_turn since its
/// last pause; does nothing outside a background_scope. To be called in loops
/// over the parts of a document.
void pause_point();

} // namespace galenarudder::support
