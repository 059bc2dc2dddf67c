// Sends the directory's actions to the store and its responses back to the
// directory.
#include "galenarudder/daemon/introducer_runtime.hpp"

#include "galenarudder/daemon/node.hpp"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using support::monotonic_clock;

namespace {

constexpr support::milliseconds tick_interval{100};
constexpr support::milliseconds store_timeout{2000};

} // namespace

class introducer_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(const asio::any_io_executor& control,
         store::platform_store& store,
         node& daemon_node,
         support::duration settling,
         std::uint64_t seed)
        : timer_(control), store_(store), node_(daemon_node),
          directory_(daemon_node.member().self(), settling, seed)
    {
    }

    void tick();

private:
    using actions = std::vector<membership::directory_action>;

    void execute_all(const actions& directory_actions);
    void report_listing(
        const support::result<std::vector<store::listed_value>>& slots);
    void execute(const membership::list_slots& action);
    void execute(const membership::claim_slot& action);
    void execute(const membership::introducer_found& introducer);
    void execute(const store::grant_request& action);
    void execute(const store::renewal_request& action);

    /// Returns a store callback that runs \p handler only while this object
    /// exists, and executes the resulting actions.
    template <typename Result, typename Handler>
    store::callback<Result> make_callback(Handler handler)
    {
        return [weak = weak_from_this(), handler = std::move(handler)](
                   support::result<Result> store_result) {
            const auto self = weak.lock();
            if (self)
                self->execute_all(
                    handler(self->directory_, std::move(store_result)));
        };
    }

    asio::steady_timer timer_;
    store::platform_store& store_;
    node& node_;
    membership::introducer_directory directory_;
};

void introducer_runtime::impl::tick()
{
    const membership::member& member = node_.member();
    execute_all(directory_.on_tick(
        member.live_count() == 1, [&] { return member.position_in_domain(); },
        monotonic_clock::now()));
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->tick();
        });
}

void introducer_runtime::impl::execute_all(const actions& directory_actions)
{
    for (const membership::directory_action& action : directory_actions)
        std::visit([this](const auto& typed_action) { execute(typed_action); },
                   action);
}

void introducer_runtime::impl::execute(const membership::list_slots& action)
{
    store_.list(membership::introducer_prefix, action.freshness, store_timeout,
                make_callback<std::vector<store::listed_value>>(
                    [this](auto& directory, auto slots) {
                        report_listing(slots);
                        return directory.on_listed(slots,
                                                   monotonic_clock::now());
                    }));
}

void introducer_runtime::impl::report_listing(
    const support::result<std::vector<store::listed_value>>& slots)
{
    if (!slots)
        return;
    const std::string& own_id = node_.member().self().id;
    node_.on_directory_read(std::any_of(
        slots.value().begin(), slots.value().end(),
        [&](const store::listed_value& slot) {
            const auto holder = membership::parse_introducer(slot.item.value);
            return holder && holder.value().member != own_id;
        }));
}

void introducer_runtime::impl::execute(const membership::claim_slot& action)
{
    store_.compare_and_swap(
        action.key, action.value, action.expected_index, action.lease,
        store_timeout,
        make_callback<store::swap_outcome>([key = action.key](auto& directory,
                                                              auto outcome) {
            return directory.on_claimed(key, outcome, monotonic_clock::now());
        }));
}

void introducer_runtime::impl::execute(
    const membership::introducer_found& introducer)
{
    node_.on_introducers({&introducer.gossip, 1});
}

void introducer_runtime::impl::execute(const store::grant_request& action)
{
    store_.grant_lease(
        action.ttl, store_timeout,
        make_callback<std::string>(
            [request_id = action.request_number](auto& directory, auto lease) {
                return directory.on_granted(request_id, std::move(lease),
                                            monotonic_clock::now());
            }));
}

void introducer_runtime::impl::execute(const store::renewal_request& action)
{
    store_.renew_lease(action.lease, store_timeout,
                       make_callback<void>([request_id = action.request_number](
                                               auto& directory, auto renewed) {
                           return directory.on_renewed(request_id, renewed,
                                                       monotonic_clock::now());
                       }));
}

introducer_runtime::introducer_runtime(const asio::any_io_executor& control,
                                       store::platform_store& store,
                                       node& daemon_node,
                                       support::duration settling,
                                       std::uint64_t seed)
    : impl_(std::make_shared<impl>(control, store, daemon_node, settling, seed))
{
}

introducer_runtime::~introducer_runtime() = default;

void introducer_runtime::start()
{
    impl_->tick();
}

} // namespace galenarudder::daemon
