/// \file
/// Applies an operator's change by one compare-and-swap of the full document,
/// and finds out whether it took effect when the store's response is lost.
#pragma once

#include "galenarudder/config/document.hpp"
#include "galenarudder/operators/file_set.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace galenarudder::operators {

/// The value of the configuration key in the store; index 0 and an empty text
/// if the key does not exist.
struct stored_configuration
{
    std::string text;
    std::uint64_t index = 0;
};

/// Access to the configuration key. A swap whose response was lost fails with
/// store_outcome_unknown; a swap that was never sent fails with
/// store_unavailable.
class configuration_store
{
public:
    virtual ~configuration_store() = default;
    virtual support::result<stored_configuration> read() = 0;
    /// Writes \p text if the key's index is \p expected_index. Returns whether
    /// it was written.
    virtual support::result<bool> swap(const std::string& text,
                                       std::uint64_t expected_index) = 0;
};

/// A change that an operator wants to apply.
struct change_request
{
    /// The operator's base document and overlays; must be valid.
    config::document files;
    std::string change_id;
    std::string author;
    std::string note;
    std::string time;
    /// The version on which the files are based. The change is rejected if
    /// another version is stored. If empty, any stored version is replaced.
    std::optional<std::uint64_t> made_from;
    /// The newest version that any daemon has in force. The store holds an
    /// older one if it was reset to an earlier state.
    std::uint64_t fleet_version = 0;
};

/// The result of applying a change.
enum class change_verdict
{
    /// The change was written to the store.
    accepted,
    /// Nothing was written: the stored document already has the same content.
    already_in_force,
    /// Nothing was written: the store holds another operator's change.
    conflict,
    /// Nothing was written: the store could not be reached or its value could
    /// not be read.
    not_written,
    /// The write was sent, but the store cannot be read to find out whether it
    /// took effect.
    not_known,
};

/// The result of applying a change, with the document in the store.
struct change_outcome
{
    change_verdict verdict = change_verdict::not_written;
    /// The document in the store: the operator's own after accepted, the one
    /// with the same content after already_in_force, the other operator's after
    /// conflict. After not_written and not_known, the stored document is not
    /// known, and this is the one that was to be written, if any.
    config::document stored;
    /// After conflict: what the operator's own files would change in the other
    /// operator's document.
    std::vector<difference> differences;
    /// The later change that has already replaced this accepted one, if any.
    std::optional<config::change_record> replaced_by;
    /// Why nothing was written, or why the result is unknown.
    std::string reason;
};

/// Waits before the store is accessed again; returns false when it is time to
/// give up.
using retry_wait = std::function<bool()>;

/// Applies a change to the store. The outcome never claims more than the
/// store's responses prove: without proof the verdict is not_known.
change_outcome apply_change(const change_request& request,
                            configuration_store& store,
                            const retry_wait& wait_before_retry);

/// The state of a change according to the stored document and its history.
enum class change_state
{
    /// It is the latest change of the stored document; daemons may not have
    /// applied it yet.
    in_force,
    accepted_and_replaced,
    /// Neither the latest change nor in the history, which holds the newest
    /// changes only.
    not_found,
};

/// Looks up a change by its id in the stored document and its history.
change_state find_change(const config::document& stored,
                         const std::string& change_id);

} // namespace galenarudder::operators
