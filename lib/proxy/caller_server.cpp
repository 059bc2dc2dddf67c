// Accepts callers and counts their connections.
#include "galenarudder/proxy/caller_server.hpp"

#include "caller_session.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace galenarudder::proxy {

namespace asio = boost::asio;
using asio::ip::tcp;

struct caller_server_state
    : public std::enable_shared_from_this<caller_server_state>
{
    caller_server_state(asio::io_context& context, entry& entry_shared)
        : io(context), acceptor(asio::make_strand(context)),
          shared(&entry_shared)
    {
    }

    asio::awaitable<void> accept_all();
    void serve(tcp::socket socket);
    void session_ended(const caller_session* ended);
    void drain(std::function<void()> when_drained);

    asio::io_context& io;
    tcp::acceptor acceptor;
    entry* shared;
    std::atomic<std::size_t> open_calls{0};
    std::atomic<bool> draining{false};

    std::mutex sessions_mutex;
    std::map<const caller_session*, std::weak_ptr<caller_session>> sessions;
    std::function<void()> drained;
};

asio::awaitable<void> caller_server_state::accept_all()
{
    for (;;) {
        auto [failed, socket] = co_await acceptor.async_accept(
            asio::make_strand(io), asio::as_tuple(asio::use_awaitable));
        if (!acceptor.is_open())
            co_return;
        if (!failed)
            serve(std::move(socket));
    }
}

void caller_server_state::serve(tcp::socket socket)
{
    const asio::any_io_executor executor = socket.get_executor();
    auto accepted = std::make_shared<caller_session>(
        std::move(socket), session_context{shared, &draining, &open_calls});
    {
        const std::lock_guard lock(sessions_mutex);
        sessions[accepted.get()] = accepted;
    }
    if (!acceptor.is_open())
        accepted->drain();
    asio::co_spawn(
        executor,
        [accepted]() -> asio::awaitable<void> { co_await accepted->run(); },
        [accepted, self = shared_from_this()](const std::exception_ptr&) {
            self->session_ended(accepted.get());
        });
}

void caller_server_state::session_ended(const caller_session* ended)
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(sessions_mutex);
        sessions.erase(ended);
        if (sessions.empty())
            notify = std::exchange(drained, nullptr);
    }
    if (notify)
        notify();
}

void caller_server_state::drain(std::function<void()> when_drained)
{
    draining = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    std::vector<std::shared_ptr<caller_session>> open;
    {
        const std::lock_guard lock(sessions_mutex);
        for (const auto& [address, session] : sessions)
            open.push_back(session.lock());
        if (!open.empty())
            drained = when_drained;
    }
    if (open.empty())
        return when_drained();
    for (const std::shared_ptr<caller_session>& session : open) {
        if (session)
            session->drain();
    }
}

caller_server::caller_server(asio::io_context& io, entry& shared)
    : state_(std::make_shared<caller_server_state>(io, shared))
{
}

caller_server::~caller_server() = default;

support::result<void> caller_server::listen(const config::endpoint& where)
{
    boost::system::error_code failed;
    const tcp::endpoint local(asio::ip::make_address(where.address),
                              where.port);
    tcp::acceptor& acceptor = state_->acceptor;
    acceptor.open(local.protocol(), failed);
    if (!failed)
        acceptor.set_option(tcp::acceptor::reuse_address(true), failed);
    if (!failed)
        acceptor.bind(local, failed);
    if (!failed)
        acceptor.listen(tcp::acceptor::max_listen_connections, failed);
    if (failed) {
        return support::error{
            support::error_kind::connection_failed,
            "cannot listen on " + to_string(where) + ": " + failed.message(),
            "free the port or change callers in the settings"};
    }
    asio::co_spawn(
        acceptor.get_executor(),
        [kept = state_]() -> asio::awaitable<void> {
            co_await kept->accept_all();
        },
        asio::detached);
    return boost::outcome_v2::success();
}

void caller_server::begin_drain()
{
    state_->draining = true;
}

void caller_server::drain(std::function<void()> drained)
{
    asio::post(state_->acceptor.get_executor(),
               [kept = state_, drained = std::move(drained)] {
                   kept->drain(drained);
               });
}

std::size_t caller_server::open_calls() const
{
    return state_->open_calls;
}

} // namespace galenarudder::proxy
