/// \file
/// One operator's change: a single compare-and-swap of the whole set, and the
/// truth about it when the store's answer is lost.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/operators/file_set.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::operators {

/// The store's configuration key; index 0 and empty text when absent.
struct stored_configuration
{
    std::string text;
    std::uint64_t index = 0;
};

/// Access to the one key. A swap whose answer was lost ends with
/// store_outcome_unknown; one that was never sent with store_unavailable.
class configuration_store
{
public:
    virtual ~configuration_store() = default;
    virtual support::result<stored_configuration> read() = 0;
    /// Returns whether the value was swapped.
    virtual support::result<bool> swap(const std::string& text,
                                       std::uint64_t expected_index) = 0;
};

struct change_request
{
    /// Base and overlays; valid.
    config::document files;
    std::string change_id;
    std::string author;
    std::string note;
    std::string time;
    /// The version that the files were made from; the change is refused when
    /// another is stored. Absent: whatever is stored is replaced.
    std::optional<std::uint64_t> made_from;
    /// The newest version that a daemon has in force; a store that was set
    /// back holds an older one.
    std::uint64_t fleet_version = 0;
};

enum class change_verdict
{
    accepted,
    /// The same files are in force already; nothing was written.
    already_in_force,
    /// Nothing was written: another operator's change stands.
    conflict,
    /// Nothing was written: the store could not be read or reached.
    not_written,
    /// The write was sent and the store cannot be asked what became of it.
    not_known,
};

struct change_outcome
{
    change_verdict verdict = change_verdict::not_written;
    /// The document in the store, as far as it is known: the own one when
    /// accepted, the other operator's on conflict.
    config::document stored;
    /// On conflict: what the own files would change in the other's.
    std::vector<difference> differing;
    /// Set when accepted and replaced by a later change since.
    std::optional<config::change_record> replaced_by;
    /// Why nothing was written or nothing is known.
    std::string reason;
};

/// Waits between attempts to learn what became of a write; returns false to
/// give up.
using patience = std::function<bool()>;

/// Writes \p wanted. Never states more than the store has shown.
change_outcome apply_change(const change_request& wanted,
                            configuration_store& store,
                            const patience& wait_again);

/// What the store's history says of a change.
enum class change_state
{
    in_force,
    accepted_and_replaced,
    /// Not among the changes that the store remembers.
    not_found,
};

change_state find_change(const config::document& stored,
                         const std::string& change_id);

} // namespace galenarudder::operators
