// A chain of swap, read back, swap again, each step's callback starting the
// next.
#include "galenarudder/store/resolve_swap.hpp"

#include <memory>

namespace galenarudder::store {

using support::error_kind;

namespace {

class resolution : public std::enable_shared_from_this<resolution>
{
public:
    resolution(platform_store& platform,
               resolvable_swap wanted,
               callback<swap_outcome> done)
        : store_(platform), wanted_(std::move(wanted)), done_(std::move(done))
    {
    }

    void swap()
    {
        ++sent_;
        store_.compare_and_swap(
            wanted_.key, wanted_.value, wanted_.expected_index, wanted_.lease,
            wanted_.timeout,
            [self = shared_from_this()](support::result<swap_outcome> outcome) {
                self->swapped(std::move(outcome));
            });
    }

private:
    void swapped(support::result<swap_outcome> outcome)
    {
        const bool succeeded =
            outcome && outcome.value() == swap_outcome::swapped;
        // A mismatch may be due to an earlier attempt whose answer was lost.
        const bool first_mismatch = outcome && !lost_;
        const bool not_sent =
            !outcome && !lost_ &&
            outcome.error().kind == error_kind::store_unavailable;
        if (succeeded || first_mismatch || not_sent) {
            done_(std::move(outcome));
            return;
        }
        lost_ = lost_ || !outcome;
        read_back();
    }

    void read_back()
    {
        store_.get(wanted_.key, wanted_.timeout,
                   [self = shared_from_this()](
                       support::result<versioned_value> found) {
                       self->found(found);
                   });
    }

    void found(const support::result<versioned_value>& read)
    {
        if (!read) {
            done_(unknown());
            return;
        }
        if (wanted_.contains_change(read.value().value)) {
            done_(swap_outcome::swapped);
            return;
        }
        if (read.value().index != wanted_.expected_index) {
            done_(swap_outcome::index_mismatch);
            return;
        }
        if (sent_ == wanted_.attempts) {
            done_(unknown());
            return;
        }
        swap();
    }

    support::error unknown() const
    {
        return {error_kind::store_outcome_unknown,
                "the store did not tell whether " + wanted_.key +
                    " was written",
                "read the key back once the store answers"};
    }

    platform_store& store_;
    resolvable_swap wanted_;
    callback<swap_outcome> done_;
    unsigned sent_ = 0;
    /// Whether the answer to some attempt was lost.
    bool lost_ = false;
};

} // namespace

void resolve_swap(platform_store& platform,
                  resolvable_swap wanted,
                  callback<swap_outcome> done)
{
    std::make_shared<resolution>(platform, std::move(wanted), std::move(done))
        ->swap();
}

} // namespace galenarudder::store
