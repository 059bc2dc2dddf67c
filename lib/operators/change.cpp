// Reads the stored document, checks for conflicts and swaps it. If the store's
// response is lost, the document is read back to find out the outcome.
#include "galenarudder/operators/change.hpp"

#include <algorithm>
#include <utility>

namespace galenarudder::operators {

using support::error_kind;

namespace {

config::document
make_next_document(const change_request& request,
                   const std::optional<config::document>& stored_document)
{
    config::document new_document = request.files;
    const std::uint64_t stored_version =
        stored_document ? stored_document->version : 0;
    new_document.version = std::max(stored_version, request.fleet_version) + 1;
    new_document.change_id = request.change_id;
    new_document.author = request.author;
    new_document.note = request.note;
    new_document.time = request.time;
    if (!stored_document)
        return new_document;
    new_document.history.push_back(config::latest_change(*stored_document));
    for (const config::change_record& change : stored_document->history) {
        if (new_document.history.size() == config::max_history_changes)
            break;
        new_document.history.push_back(change);
    }
    return new_document;
}

/// Applies one change.
class change_writer
{
public:
    change_writer(const change_request& request,
                  configuration_store& store,
                  const retry_wait& wait_before_retry)
        : request_(request), store_(store),
          wait_before_retry_(wait_before_retry)
    {
    }

    change_outcome run() &&;

private:
    bool read_with_retries();
    support::result<void> read_stored_document();
    change_outcome write();
    change_outcome determine_outcome();
    std::optional<change_outcome> read_back();
    change_outcome accepted_outcome() const;
    change_outcome conflict_outcome() const;
    change_outcome make_outcome(change_verdict verdict,
                                std::string reason) const;
    bool is_made_from_other_version() const;

    const change_request& request_;
    configuration_store& store_;
    const retry_wait& wait_before_retry_;
    stored_configuration stored_value_;
    std::optional<config::document> stored_document_;
    std::string last_failure_;
    config::document new_document_;
    std::string new_document_text_;
    std::uint64_t expected_index_ = 0;
    /// The store responded that the key's index had changed.
    bool swap_refused_ = false;
};

change_outcome change_writer::make_outcome(change_verdict verdict,
                                           std::string reason) const
{
    change_outcome outcome;
    outcome.verdict = verdict;
    outcome.stored = new_document_;
    outcome.reason = std::move(reason);
    return outcome;
}

change_outcome change_writer::accepted_outcome() const
{
    change_outcome outcome;
    outcome.verdict = change_verdict::accepted;
    outcome.stored = new_document_;
    const bool was_replaced =
        stored_document_ && stored_document_->version > new_document_.version;
    if (was_replaced)
        outcome.replaced_by = config::latest_change(*stored_document_);
    return outcome;
}

change_outcome change_writer::conflict_outcome() const
{
    change_outcome outcome;
    outcome.verdict = change_verdict::conflict;
    if (!stored_document_)
        return outcome;
    outcome.stored = *stored_document_;
    outcome.differences = find_differences(*stored_document_, request_.files);
    return outcome;
}

/// Reads the stored document. A document that cannot be parsed is an error and
/// is not treated as missing.
support::result<void> change_writer::read_stored_document()
{
    BOOST_OUTCOME_TRY(stored_value_, store_.read());
    stored_document_.reset();
    if (stored_value_.index == 0)
        return boost::outcome_v2::success();
    BOOST_OUTCOME_TRY(config::document parsed,
                      config::parse_document(stored_value_.text));
    stored_document_ = std::move(parsed);
    return boost::outcome_v2::success();
}

bool change_writer::read_with_retries()
{
    for (;;) {
        auto read_result = read_stored_document();
        if (read_result)
            return true;
        last_failure_ = support::describe(read_result.error());
        const bool is_transient =
            read_result.error().kind == error_kind::store_unavailable;
        if (!is_transient || !wait_before_retry_())
            return false;
    }
}

bool change_writer::is_made_from_other_version() const
{
    const std::uint64_t version =
        stored_document_ ? stored_document_->version : 0;
    return request_.made_from && *request_.made_from != version;
}

change_outcome change_writer::run() &&
{
    if (!read_with_retries())
        return make_outcome(change_verdict::not_written, last_failure_);
    const bool is_up_to_date =
        stored_document_ && stored_document_->version >= request_.fleet_version;
    if (is_up_to_date &&
        config::same_content(*stored_document_, request_.files)) {
        new_document_ = *stored_document_;
        return make_outcome(change_verdict::already_in_force, "");
    }
    if (is_made_from_other_version())
        return conflict_outcome();
    new_document_ = make_next_document(request_, stored_document_);
    new_document_text_ = config::serialize(new_document_);
    expected_index_ = stored_value_.index;
    return write();
}

change_outcome change_writer::write()
{
    const auto swap_result = store_.swap(new_document_text_, expected_index_);
    if (swap_result && swap_result.value())
        return accepted_outcome();
    if (!swap_result)
        last_failure_ = support::describe(swap_result.error());
    const bool was_not_sent = !swap_result && swap_result.error().kind ==
                                                  error_kind::store_unavailable;
    if (was_not_sent)
        return make_outcome(change_verdict::not_written, last_failure_);
    swap_refused_ = swap_result.has_value();
    return determine_outcome();
}

/// Reads the stored document and returns the outcome if it is certain. While
/// the key's index is unchanged, the earlier write may still be on its way, so
/// the same swap is sent again: at most one of the two can take effect.
std::optional<change_outcome> change_writer::read_back()
{
    auto read_result = read_stored_document();
    if (!read_result) {
        last_failure_ = support::describe(read_result.error());
        return std::nullopt;
    }
    if (stored_document_ &&
        find_change(*stored_document_, request_.change_id) !=
            change_state::not_found)
        return accepted_outcome();
    if (stored_value_.index != expected_index_)
        return conflict_outcome();
    const auto second_swap = store_.swap(new_document_text_, expected_index_);
    if (second_swap && second_swap.value())
        return accepted_outcome();
    if (!second_swap)
        last_failure_ = support::describe(second_swap.error());
    return std::nullopt;
}

change_outcome change_writer::determine_outcome()
{
    do {
        if (auto outcome = read_back())
            return *std::move(outcome);
    } while (wait_before_retry_());
    if (swap_refused_)
        return conflict_outcome();
    return make_outcome(change_verdict::not_known, last_failure_);
}

} // namespace

change_outcome apply_change(const change_request& request,
                            configuration_store& store,
                            const retry_wait& wait_before_retry)
{
    return change_writer(request, store, wait_before_retry).run();
}

change_state find_change(const config::document& stored_document,
                         const std::string& change_id)
{
    if (stored_document.change_id == change_id)
        return change_state::in_force;
    for (const config::change_record& change : stored_document.history) {
        if (change.change_id == change_id)
            return change_state::accepted_and_replaced;
    }
    return change_state::not_found;
}

} // namespace galenarudder::operators
