/// \file
/// Configuration between daemons as a state machine without I/O. Words from
/// the store and from peers go in; reads, pushes and adoptions come out. A
/// lower version is never adopted.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/support/random.hpp"
#include "galenarudder/support/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace galenarudder::rollout {

/// Put \p whole in force.
struct adopt
{
    config::document whole;
};

/// Read the configuration key of the store once.
struct read_store
{
};

using action = std::variant<adopt, read_store>;

class rollout
{
public:
    rollout(std::string member, std::uint64_t seed);
    ~rollout();
    rollout(const rollout&) = delete;
    rollout& operator=(const rollout&) = delete;

    /// A document from the store, a peer or an operator's apply.
    std::vector<action> on_document(std::string_view text,
                                    support::time_point now);
    /// A store read failed or found no document.
    std::vector<action> on_store_unavailable(support::time_point now);
    std::vector<action> on_tick(support::time_point now);

    /// The document in force; null before the first.
    const config::document* current() const;
    std::uint64_t version() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenarudder::rollout
