// Read, check, swap, and resolve a lost answer by reading back.
#include "galenarudder/operators/change.hpp"

#include <algorithm>
#include <utility>

namespace galenarudder::operators {

using support::error_kind;

namespace {

config::document next_document(const change_request& wanted,
                               const std::optional<config::document>& stored)
{
    config::document next = wanted.files;
    const std::uint64_t stored_version = stored ? stored->version : 0;
    next.version = std::max(stored_version, wanted.fleet_version) + 1;
    next.change_id = wanted.change_id;
    next.author = wanted.author;
    next.note = wanted.note;
    next.time = wanted.time;
    if (!stored)
        return next;
    next.history.push_back(config::change_of(*stored));
    for (const config::change_record& change : stored->history) {
        if (next.history.size() == config::max_history)
            break;
        next.history.push_back(change);
    }
    return next;
}

class attempt
{
public:
    attempt(const change_request& wanted,
            configuration_store& store,
            const patience& wait_again)
        : wanted_(wanted), store_(store), wait_again_(wait_again)
    {
    }

    change_outcome run() &&;

private:
    bool read_before();
    support::result<void> load();
    change_outcome write();
    change_outcome resolve();
    std::optional<change_outcome> read_back();
    change_outcome accepted() const;
    change_outcome conflict() const;
    change_outcome stopped(change_verdict verdict, std::string reason) const;
    bool made_from_another() const;

    const change_request& wanted_;
    configuration_store& store_;
    const patience& wait_again_;
    stored_configuration raw_;
    std::optional<config::document> stored_;
    std::string last_failure_;
    config::document next_;
    std::string next_text_;
    std::uint64_t expected_index_ = 0;
    /// The store answered that the index had moved.
    bool refused_ = false;
};

change_outcome attempt::stopped(change_verdict verdict,
                                std::string reason) const
{
    change_outcome outcome;
    outcome.verdict = verdict;
    outcome.stored = next_;
    outcome.reason = std::move(reason);
    return outcome;
}

change_outcome attempt::accepted() const
{
    change_outcome outcome;
    outcome.verdict = change_verdict::accepted;
    outcome.stored = next_;
    const bool replaced = stored_ && stored_->version > next_.version;
    if (replaced)
        outcome.replaced_by = config::change_of(*stored_);
    return outcome;
}

change_outcome attempt::conflict() const
{
    change_outcome outcome;
    outcome.verdict = change_verdict::conflict;
    if (!stored_)
        return outcome;
    outcome.stored = *stored_;
    outcome.differing = differences(*stored_, wanted_.files);
    return outcome;
}

/// Reads the key; an unreadable document is a failure, not an absent one.
support::result<void> attempt::load()
{
    BOOST_OUTCOME_TRY(raw_, store_.read());
    stored_.reset();
    if (raw_.index == 0)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(config::document parsed,
                      config::parse_document(raw_.text));
    stored_ = std::move(parsed);
    return boost::outcome_v2::success();
}

bool attempt::read_before()
{
    for (;;) {
        auto loaded = load();
        if (loaded)
            return true;
        last_failure_ = support::describe(loaded.error());
        const bool passes =
            loaded.error().kind == error_kind::store_unavailable;
        if (!passes || !wait_again_())
            return false;
    }
}

bool attempt::made_from_another() const
{
    const std::uint64_t version = stored_ ? stored_->version : 0;
    return wanted_.made_from && *wanted_.made_from != version;
}

change_outcome attempt::run() &&
{
    if (!read_before())
        return stopped(change_verdict::not_written, last_failure_);
    const bool current = stored_ && stored_->version >= wanted_.fleet_version;
    if (current && config::same_content(*stored_, wanted_.files)) {
        next_ = *stored_;
        return stopped(change_verdict::already_in_force, "");
    }
    if (made_from_another())
        return conflict();
    next_ = next_document(wanted_, stored_);
    next_text_ = config::serialize(next_);
    expected_index_ = raw_.index;
    return write();
}

change_outcome attempt::write()
{
    const auto swapped = store_.swap(next_text_, expected_index_);
    if (swapped && swapped.value())
        return accepted();
    if (!swapped)
        last_failure_ = support::describe(swapped.error());
    const bool never_sent =
        !swapped && swapped.error().kind == error_kind::store_unavailable;
    if (never_sent)
        return stopped(change_verdict::not_written, last_failure_);
    refused_ = swapped.has_value();
    return resolve();
}

/// Returns the outcome once the store shows it. While the index has not moved
/// the write may still be under way; the same swap is then sent again, since
/// at most one of the two can take effect.
std::optional<change_outcome> attempt::read_back()
{
    auto loaded = load();
    if (!loaded) {
        last_failure_ = support::describe(loaded.error());
        return std::nullopt;
    }
    if (stored_ &&
        find_change(*stored_, wanted_.change_id) != change_state::not_found)
        return accepted();
    if (raw_.index != expected_index_)
        return conflict();
    const auto again = store_.swap(next_text_, expected_index_);
    if (again && again.value())
        return accepted();
    if (!again)
        last_failure_ = support::describe(again.error());
    return std::nullopt;
}

change_outcome attempt::resolve()
{
    do {
        if (auto shown = read_back())
            return *std::move(shown);
    } while (wait_again_());
    if (refused_)
        return conflict();
    return stopped(change_verdict::not_known, last_failure_);
}

} // namespace

change_outcome apply_change(const change_request& wanted,
                            configuration_store& store,
                            const patience& wait_again)
{
    return attempt(wanted, store, wait_again).run();
}

change_state find_change(const config::document& stored,
                         const std::string& change_id)
{
    if (stored.change_id == change_id)
        return change_state::in_force;
    for (const config::change_record& change : stored.history) {
        if (change.change_id == change_id)
            return change_state::accepted_and_replaced;
    }
    return change_state::not_found;
}

} // namespace galenarudder::operators
