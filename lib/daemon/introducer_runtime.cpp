// Moves the directory's actions to the store and the answers back.
#include "galenarudder/daemon/introducer_runtime.hpp"

#include "galenarudder/daemon/node.hpp"

#include <boost/asio/steady_timer.hpp>

namespace galenarudder::daemon {

namespace asio = boost::asio;
using support::monotonic_clock;

namespace {

constexpr support::milliseconds tick_interval{500};
constexpr support::milliseconds store_timeout{2000};

} // namespace

class introducer_runtime::impl : public std::enable_shared_from_this<impl>
{
public:
    impl(const asio::any_io_executor& control,
         store::platform_store& platform,
         node& known,
         support::duration settling,
         std::uint64_t seed)
        : timer_(control), store_(platform), node_(known),
          directory_(known.member().self(), settling, seed)
    {
    }

    void tick();

private:
    using actions = std::vector<membership::directory_action>;

    void perform(const actions& wanted);
    void execute(const membership::list_slots& wanted);
    void execute(const membership::claim_slot& wanted);
    void execute(const membership::introducer_found& found);
    void execute(const store::grant_wanted& wanted);
    void execute(const store::renew_wanted& wanted);

    /// Wraps a handler of an answer so that it runs while this object lives.
    template <typename Answer, typename Handle>
    store::callback<Answer> answered(Handle handle)
    {
        return [weak = weak_from_this(),
                handle = std::move(handle)](support::result<Answer> answer) {
            const auto self = weak.lock();
            if (self)
                self->perform(handle(self->directory_, std::move(answer)));
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
    perform(directory_.on_tick(
        member.live_count() == 1, [&] { return member.rank_in_domain(); },
        monotonic_clock::now()));
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (self && !canceled)
                self->tick();
        });
}

void introducer_runtime::impl::perform(const actions& wanted)
{
    for (const membership::directory_action& action : wanted)
        std::visit([this](const auto& what) { execute(what); }, action);
}

void introducer_runtime::impl::execute(const membership::list_slots&)
{
    store_.list(membership::introducer_prefix, store_timeout,
                answered<std::vector<store::listed_value>>([](auto& directory,
                                                              auto found) {
                    return directory.on_listed(found, monotonic_clock::now());
                }));
}

void introducer_runtime::impl::execute(const membership::claim_slot& wanted)
{
    store_.compare_and_swap(
        wanted.key, wanted.value, wanted.expected_index, wanted.lease,
        store_timeout,
        answered<store::swap_outcome>([key = wanted.key](auto& directory,
                                                         auto outcome) {
            return directory.on_claimed(key, outcome, monotonic_clock::now());
        }));
}

void introducer_runtime::impl::execute(
    const membership::introducer_found& found)
{
    node_.on_introducers({&found.gossip, 1});
}

void introducer_runtime::impl::execute(const store::grant_wanted& wanted)
{
    store_.grant_lease(wanted.ttl, store_timeout,
                       answered<std::string>([request = wanted.request](
                                                 auto& directory, auto lease) {
                           return directory.on_granted(request,
                                                       std::move(lease),
                                                       monotonic_clock::now());
                       }));
}

void introducer_runtime::impl::execute(const store::renew_wanted& wanted)
{
    store_.renew_lease(wanted.lease, store_timeout,
                       answered<void>([request = wanted.request](
                                          auto& directory, auto renewed) {
                           return directory.on_renewed(request, renewed,
                                                       monotonic_clock::now());
                       }));
}

introducer_runtime::introducer_runtime(const asio::any_io_executor& control,
                                       store::platform_store& platform,
                                       node& known,
                                       support::duration settling,
                                       std::uint64_t seed)
    : impl_(std::make_shared<impl>(control, platform, known, settling, seed))
{
}

introducer_runtime::~introducer_runtime() = default;

void introducer_runtime::start()
{
    impl_->tick();
}

} // namespace galenarudder::daemon
