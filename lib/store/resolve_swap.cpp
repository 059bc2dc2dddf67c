// A sequence of swap, read back, swap again, in which the callback of each step
// starts the next.
#include "galenarudder/store/resolve_swap.hpp"

#include <memory>

namespace galenarudder::store {

using support::error_kind;

namespace {

class swap_resolver : public std::enable_shared_from_this<swap_resolver>
{
public:
    swap_resolver(platform_store& store,
                  resolvable_swap request,
                  callback<swap_outcome> done)
        : store_(store), request_(std::move(request)), done_(std::move(done))
    {
    }

    void swap()
    {
        ++swaps_sent_;
        store_.compare_and_swap(
            request_.key, request_.value, request_.expected_index,
            request_.lease, request_.timeout,
            [self = shared_from_this()](support::result<swap_outcome> outcome) {
                self->on_swapped(std::move(outcome));
            });
    }

private:
    void on_swapped(support::result<swap_outcome> outcome)
    {
        const bool succeeded =
            outcome && outcome.value() == swap_outcome::swapped;
        // A mismatch may be due to an earlier swap whose answer was lost.
        const bool outcome_is_certain = outcome && !answer_lost_;
        const bool not_sent =
            !outcome && !answer_lost_ &&
            outcome.error().kind == error_kind::store_unavailable;
        if (succeeded || outcome_is_certain || not_sent) {
            done_(std::move(outcome));
            return;
        }
        answer_lost_ = answer_lost_ || !outcome;
        read_back();
    }

    void read_back()
    {
        store_.get(
            request_.key, read_freshness::newest, request_.timeout,
            [self = shared_from_this()](support::result<indexed_value> value) {
                self->on_read(value);
            });
    }

    void on_read(const support::result<indexed_value>& value)
    {
        if (!value) {
            done_(outcome_unknown());
            return;
        }
        if (request_.contains_change(value.value().value)) {
            done_(swap_outcome::swapped);
            return;
        }
        if (value.value().index != request_.expected_index) {
            done_(swap_outcome::index_mismatch);
            return;
        }
        if (swaps_sent_ == request_.max_swaps) {
            done_(outcome_unknown());
            return;
        }
        swap();
    }

    support::error outcome_unknown() const
    {
        return {error_kind::store_outcome_unknown,
                "it is unknown whether " + request_.key +
                    " was written: the store gave no conclusive answer",
                "read the key back once the store answers"};
    }

    platform_store& store_;
    resolvable_swap request_;
    callback<swap_outcome> done_;
    unsigned swaps_sent_ = 0;
    /// Whether the answer to some swap was lost.
    bool answer_lost_ = false;
};

} // namespace

void resolve_swap(platform_store& store,
                  resolvable_swap request,
                  callback<swap_outcome> done)
{
    std::make_shared<swap_resolver>(store, std::move(request), std::move(done))
        ->swap();
}

} // namespace galenarudder::store
