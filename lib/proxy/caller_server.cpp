// One coroutine for each caller's connection; answers leave in the order of
// the requests because the next request is read after the answer.
#include "galenarudder/proxy/caller_server.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/proxy/http_fields.hpp"
#include "galenarudder/proxy/problem.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <random>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using support::monotonic_clock;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
constexpr auto idle_timeout = std::chrono::seconds(75);
constexpr auto head_timeout = std::chrono::seconds(10);
constexpr auto body_timeout = std::chrono::seconds(30);
constexpr auto write_timeout = std::chrono::seconds(60);
constexpr std::uint32_t max_head_bytes = 16 * 1024;
/// Bodies up to this size are read before the first attempt, so that the
/// call can be sent again to another upstream.
constexpr std::size_t replay_limit_bytes = 64 * 1024;

using body_parser = bhttp::request_parser<bhttp::buffer_body>;

/// What an attempt, the timer or the caller tells the session.
struct timer_fired
{
};
struct attempt_event
{
    std::size_t attempt = 0;
    link::exchange_event event;
};
using session_event = std::variant<timer_fired, attempt_event>;
using event_channel = asio::experimental::concurrent_channel<void(
    boost::system::error_code, session_event)>;

constexpr std::size_t event_channel_capacity = 16;

support::random_engine& thread_random()
{
    thread_local support::random_engine engine{std::random_device{}()};
    return engine;
}

support::call_head convert(const body_parser& parser)
{
    const auto& received = parser.get();
    support::call_head head;
    head.method = std::string(received.method_string());
    head.target = std::string(received.target());
    for (const auto& field : received) {
        head.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    if (parser.content_length())
        head.content_length = *parser.content_length();
    else if (!parser.chunked())
        head.content_length = 0;
    return head;
}

/// Splits a whole body into as few parts as a pipe takes at once.
std::vector<link::body_chunk> split_body(std::string_view whole)
{
    std::vector<link::body_chunk> parts;
    while (whole.size() > link::max_body_part_bytes) {
        parts.push_back(
            {std::string(whole.substr(0, link::max_body_part_bytes)), false});
        whole.remove_prefix(link::max_body_part_bytes);
    }
    parts.push_back({std::string(whole), true});
    return parts;
}

/// Whether the body is small enough to be kept for another attempt.
bool can_be_kept(const support::call_head& head)
{
    return head.content_length && *head.content_length <= replay_limit_bytes;
}

refusal malformed(std::string detail)
{
    return {refusal_kind::malformed_request, run_outcome::not_run, true,
            support::milliseconds(0), std::move(detail)};
}

} // namespace

struct caller_server_state
    : public std::enable_shared_from_this<caller_server_state>
{
    caller_server_state(asio::io_context& context, entry& entry_shared)
        : io(context), acceptor(context), shared(entry_shared)
    {
    }

    asio::awaitable<void> accept_all();
    void call_ended();

    asio::io_context& io;
    tcp::acceptor acceptor;
    entry& shared;
    std::atomic<std::size_t> open_calls{0};
    std::atomic<bool> draining{false};
    std::function<void()> drained;
};

namespace {

/// One attempt of the session's call.
struct open_attempt
{
    link::exchange_ptr exchange;
    std::shared_ptr<link::gate_port> gate;
};

/// One connection of a caller.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, caller_server_state& server);

    asio::awaitable<void> run(std::shared_ptr<caller_server_state> keep);

private:
    struct call
    {
        call(const routing::router& router,
             classified_call accepted,
             const asio::any_io_executor& executor)
            : deadline(accepted.terms.deadline),
              flow(router, std::move(accepted.terms)),
              head(std::move(accepted.head)),
              events(executor, event_channel_capacity), timer(executor)
        {
        }

        support::time_point deadline;
        call_flow flow;
        support::call_head head;
        event_channel events;
        asio::steady_timer timer;
        std::vector<open_attempt> attempts;
        std::vector<link::body_chunk> kept_body;
        bool body_complete = false;
        std::optional<refusal> refused;
        std::optional<std::size_t> forwarded;
        std::shared_ptr<held_claim> claim;
        link::answered answer;
    };
    using call_ptr = std::shared_ptr<call>;

    asio::awaitable<bool> serve_one();
    asio::awaitable<bool> read_head(body_parser& parser);
    asio::awaitable<bool> serve_call(std::shared_ptr<body_parser> parser,
                                     classified_call accepted);
    asio::awaitable<std::optional<refusal>> keep_small_body(body_parser& parser,
                                                            call& current);
    asio::awaitable<std::optional<link::body_chunk>>
    read_body_part(body_parser& parser);
    asio::awaitable<void> stream_body(std::shared_ptr<body_parser> parser,
                                      call_ptr current,
                                      link::exchange_ptr into);
    asio::awaitable<bool> write_recorded(once::recorded_outcome recorded,
                                         bool keep_alive);
    asio::awaitable<void> decide(std::shared_ptr<body_parser> parser,
                                 call_ptr current);
    void perform(const call_ptr& current,
                 const std::shared_ptr<body_parser>& parser,
                 std::vector<call_action> actions);
    void send(const call_ptr& current,
              const std::shared_ptr<body_parser>& parser,
              const send_attempt& wanted);
    asio::awaitable<bool> write_answer(call_ptr current, bool keep_alive);
    asio::awaitable<bool> write_refusal(const refusal& why, bool keep_alive);
    asio::awaitable<bool> write_continue();
    bool may_keep_alive(const body_parser& parser) const;

    caller_server_state& server_;
    entry& entry_;
    beast::tcp_stream stream_;
    /// The caller's address.
    std::string peer_;
    beast::flat_buffer buffer_;
};

session::session(tcp::socket socket, caller_server_state& server)
    : server_(server), entry_(server.shared), stream_(std::move(socket))
{
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    peer_ = stream_.socket().remote_endpoint(ignored).address().to_string();
}

asio::awaitable<void> session::run(std::shared_ptr<caller_server_state> keep)
{
    const auto self = shared_from_this();
    while (co_await serve_one()) {
        if (keep->draining)
            break;
    }
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

bool session::may_keep_alive(const body_parser& parser) const
{
    return parser.get().keep_alive() && !server_.draining;
}

asio::awaitable<bool> session::read_head(body_parser& parser)
{
    parser.header_limit(max_head_bytes);
    parser.body_limit(boost::none);
    if (buffer_.size() == 0) {
        stream_.expires_after(idle_timeout);
        const auto [idle_failure, read] = co_await stream_.async_read_some(
            buffer_.prepare(max_head_bytes), awaiting);
        if (idle_failure)
            co_return false;
        buffer_.commit(read);
    }
    stream_.expires_after(head_timeout);
    const auto [failed, size] =
        co_await bhttp::async_read_header(stream_, buffer_, parser, awaiting);
    if (!failed)
        co_return true;
    if (failed == bhttp::error::end_of_stream || failed == asio::error::eof)
        co_return false;
    const std::string detail = failed == beast::error::timeout
                                   ? "the request's head came too slowly"
                                   : failed.message();
    co_await write_refusal(malformed(detail), false);
    co_return false;
}

asio::awaitable<bool> session::serve_one()
{
    auto parser = std::make_shared<body_parser>();
    if (!co_await read_head(*parser))
        co_return false;
    ++server_.open_calls;
    const std::string host(parser->get()[bhttp::field::host]);
    classification decided =
        entry_.classify(convert(*parser), host, monotonic_clock::now(), peer_);
    bool again = false;
    if (const auto* why = std::get_if<refusal>(&decided)) {
        entry_.metrics().refused("", "", *why);
        const bool no_body = parser->is_done();
        again = no_body && may_keep_alive(*parser);
        again = co_await write_refusal(*why, again) && again;
    } else {
        again = co_await serve_call(
            parser, std::move(std::get<classified_call>(decided)));
    }
    server_.call_ended();
    co_return again;
}

asio::awaitable<bool> session::write_continue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto [failed, size] =
        co_await asio::async_write(stream_, asio::buffer(line), awaiting);
    co_return !failed;
}

asio::awaitable<std::optional<link::body_chunk>>
session::read_body_part(body_parser& parser)
{
    std::string part;
    while (!parser.is_done()) {
        part.resize(link::max_body_part_bytes);
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        stream_.expires_after(body_timeout);
        const auto [failed, size] =
            co_await bhttp::async_read_some(stream_, buffer_, parser, awaiting);
        if (failed && failed != bhttp::error::need_buffer)
            co_return std::nullopt;
        part.resize(part.size() - parser.get().body().size);
        if (!part.empty())
            co_return link::make_chunk(std::move(part), parser.is_done());
    }
    co_return link::make_chunk(std::string(), true);
}

/// Reads a body of known small size whole; larger ones are streamed later.
asio::awaitable<std::optional<refusal>>
session::keep_small_body(body_parser& parser, call& current)
{
    if (!can_be_kept(current.head))
        co_return std::nullopt;
    std::string whole;
    while (!current.body_complete) {
        auto part = co_await read_body_part(parser);
        if (!part)
            co_return malformed("the request's body broke off");
        current.body_complete = part->last;
        whole += part->data;
    }
    current.kept_body = split_body(whole);
    co_return std::nullopt;
}

asio::awaitable<bool> session::serve_call(std::shared_ptr<body_parser> parser,
                                          classified_call accepted)
{
    const support::time_point begun = monotonic_clock::now();
    const std::uint64_t body_limit = accepted.body_limit_bytes;
    accepted.terms.replayable = can_be_kept(accepted.head);
    auto current = std::make_shared<call>(entry_.router(), std::move(accepted),
                                          stream_.get_executor());
    const bool expects_continue =
        beast::iequals(parser->get()[bhttp::field::expect], "100-continue");
    if (expects_continue && !parser->is_done() && !co_await write_continue())
        co_return false;
    parser->body_limit(body_limit);
    const auto broken_off = co_await keep_small_body(*parser, *current);
    if (broken_off) {
        co_await write_refusal(*broken_off, false);
        co_return false;
    }
    claim_answer claimed =
        co_await entry_.claim(current->head, current->deadline);
    if (const auto* recorded = std::get_if<once::recorded_outcome>(&claimed)) {
        const bool again = may_keep_alive(*parser) && current->body_complete;
        co_return co_await write_recorded(*recorded, again) && again;
    }
    if (const auto* why = std::get_if<refusal>(&claimed))
        current->refused = *why;
    if (auto* held = std::get_if<std::shared_ptr<held_claim>>(&claimed))
        current->claim = std::move(*held);
    if (!current->refused)
        co_await decide(parser, current);
    current->timer.cancel();
    const bool body_read = current->body_complete;
    const bool keep_alive = may_keep_alive(*parser) && body_read;
    const support::call_head& head = current->head;
    if (current->refused) {
        if (current->claim)
            current->claim->on_refusal(*current->refused);
        entry_.metrics().refused(head.service, head.rank, *current->refused);
        co_return co_await write_refusal(*current->refused, keep_alive) &&
            keep_alive;
    }
    const bool whole = co_await write_answer(current, keep_alive);
    current->flow.on_answer_end(whole, monotonic_clock::now());
    if (whole) {
        entry_.metrics().answered(head.service, head.rank,
                                  monotonic_clock::now() - begun);
    }
    co_return whole&& keep_alive && current->body_complete;
}

asio::awaitable<void> session::decide(std::shared_ptr<body_parser> parser,
                                      call_ptr current)
{
    perform(current, parser,
            current->flow.start(monotonic_clock::now(), thread_random()));
    while (!current->refused && !current->forwarded) {
        auto [failed, event] = co_await current->events.async_receive(awaiting);
        if (failed)
            co_return;
        const support::time_point now = monotonic_clock::now();
        if (std::holds_alternative<timer_fired>(event)) {
            perform(current, parser,
                    current->flow.on_timer(now, thread_random()));
            continue;
        }
        auto& [attempt, what] = std::get<attempt_event>(event);
        if (auto* begun = std::get_if<link::answered>(&what)) {
            current->answer = std::move(*begun);
            perform(current, parser,
                    current->flow.on_answer(attempt, current->answer.load,
                                            current->answer.head.status, now,
                                            thread_random()));
            continue;
        }
        const auto& ended = std::get<link::refused>(what);
        perform(current, parser,
                current->flow.on_refusal(attempt, ended.why, ended.load, now,
                                         thread_random()));
    }
}

void session::perform(const call_ptr& current,
                      const std::shared_ptr<body_parser>& parser,
                      std::vector<call_action> actions)
{
    for (call_action& action : actions) {
        if (const auto* wanted = std::get_if<send_attempt>(&action)) {
            send(current, parser, *wanted);
        } else if (const auto* dropped = std::get_if<cancel_attempt>(&action)) {
            open_attempt& attempt = current->attempts[dropped->attempt];
            attempt.gate->cancel(attempt.exchange);
            attempt.exchange->answer.cut();
        } else if (const auto* chosen = std::get_if<forward_answer>(&action)) {
            current->forwarded = chosen->attempt;
        } else if (auto* ended = std::get_if<refuse_call>(&action)) {
            current->refused = std::move(ended->why);
        } else if (const auto* armed = std::get_if<arm_timer>(&action)) {
            current->timer.expires_at(std::chrono::steady_clock::time_point(
                armed->at.time_since_epoch()));
            current->timer.async_wait(
                [current](boost::system::error_code canceled) {
                    if (!canceled)
                        current->events.try_send(boost::system::error_code(),
                                                 timer_fired{});
                });
        }
    }
}

void session::send(const call_ptr& current,
                   const std::shared_ptr<body_parser>& parser,
                   const send_attempt& wanted)
{
    support::call_head head = current->head;
    head.id = entry_.next_call_id();
    head.remaining = std::chrono::floor<support::milliseconds>(
        current->deadline - monotonic_clock::now());
    auto exchange = std::make_shared<link::exchange>(std::move(head),
                                                     stream_.get_executor());
    const std::weak_ptr<call> weak = current;
    exchange->deliver = [weak,
                         attempt = wanted.attempt](link::exchange_event what) {
        if (const auto kept = weak.lock()) {
            kept->events.try_send(boost::system::error_code(),
                                  attempt_event{attempt, std::move(what)});
        }
    };
    std::shared_ptr<link::gate_port> gate = entry_.gate(wanted.target);
    current->attempts.push_back({exchange, gate});
    for (const link::body_chunk& part : current->kept_body)
        exchange->request.try_write(part);
    gate->submit(exchange);
    if (current->body_complete)
        return;
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this(), parser, current,
         exchange]() -> asio::awaitable<void> {
            co_await self->stream_body(parser, current, exchange);
        },
        asio::detached);
}

asio::awaitable<void> session::stream_body(std::shared_ptr<body_parser> parser,
                                           call_ptr current,
                                           link::exchange_ptr into)
{
    for (;;) {
        auto part = co_await read_body_part(*parser);
        if (!part) {
            into->request.cut();
            co_return;
        }
        const bool last = part->last;
        if (!co_await into->request.write(std::move(*part)))
            co_return;
        if (!last)
            continue;
        current->body_complete = true;
        co_return;
    }
}

asio::awaitable<bool> session::write_answer(call_ptr current, bool keep_alive)
{
    const support::answer_head& head = current->answer.head;
    const link::exchange_ptr exchange =
        current->attempts[*current->forwarded].exchange;
    if (current->claim)
        current->claim->on_answer(head);
    bhttp::response<bhttp::buffer_body> answer;
    answer.version(11);
    answer.result(head.status);
    answer.reason(head.reason);
    for (const support::header_field& field : head.fields)
        answer.insert(field.name, field.value);
    answer.keep_alive(keep_alive);
    if (head.content_length)
        answer.content_length(*head.content_length);
    else
        answer.chunked(true);
    answer.body().data = nullptr;
    answer.body().more = true;
    bhttp::response_serializer<bhttp::buffer_body> serializer{answer};
    stream_.expires_after(write_timeout);
    const auto [head_failure, head_size] =
        co_await bhttp::async_write_header(stream_, serializer, awaiting);
    bool more = !head_failure;
    bool whole = false;
    while (more) {
        auto part = co_await exchange->answer.read();
        if (!part)
            break;
        more = !part->last;
        whole = part->last;
        if (current->claim)
            current->claim->on_answer_part(part->data);
        answer.body().data = part->data.empty() ? nullptr : part->data.data();
        answer.body().size = part->data.size();
        answer.body().more = more;
        stream_.expires_after(write_timeout);
        const auto [failed, size] =
            co_await bhttp::async_write(stream_, serializer, awaiting);
        if (failed && failed != bhttp::error::need_buffer) {
            whole = false;
            break;
        }
    }
    if (current->claim)
        current->claim->on_answer_end(whole);
    if (!whole) {
        open_attempt& attempt = current->attempts[*current->forwarded];
        attempt.gate->cancel(attempt.exchange);
        exchange->answer.cut();
    }
    stream_.expires_never();
    co_return whole;
}

asio::awaitable<bool> session::write_recorded(once::recorded_outcome recorded,
                                              bool keep_alive)
{
    bhttp::response<bhttp::string_body> answer;
    answer.version(11);
    answer.result(recorded.status);
    if (!recorded.content_type.empty())
        answer.set(bhttp::field::content_type, recorded.content_type);
    answer.set(beast::string_view(replayed_field.data(), replayed_field.size()),
               "1");
    answer.keep_alive(keep_alive);
    answer.body() = std::move(recorded.body);
    answer.prepare_payload();
    stream_.expires_after(write_timeout);
    const auto [failed, size] =
        co_await bhttp::async_write(stream_, answer, awaiting);
    stream_.expires_never();
    co_return !failed;
}

asio::awaitable<bool> session::write_refusal(const refusal& why,
                                             bool keep_alive)
{
    bhttp::response<bhttp::string_body> answer;
    answer.version(11);
    answer.result(http_status(why.kind));
    answer.set(bhttp::field::content_type, problem_type);
    if (why.retry_after.count() > 0) {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(why.retry_after);
        answer.set(bhttp::field::retry_after, std::to_string(seconds.count()));
    }
    if (why.retry_exhausted) {
        answer.set(
            beast::string_view(no_retry_field.data(), no_retry_field.size()),
            "1");
    }
    answer.keep_alive(keep_alive);
    answer.body() = problem_json(why);
    answer.prepare_payload();
    stream_.expires_after(write_timeout);
    const auto [failed, size] =
        co_await bhttp::async_write(stream_, answer, awaiting);
    stream_.expires_never();
    co_return !failed;
}

} // namespace

asio::awaitable<void> caller_server_state::accept_all()
{
    for (;;) {
        auto strand = asio::make_strand(io);
        auto [failed, socket] =
            co_await acceptor.async_accept(strand, awaiting);
        if (failed == asio::error::operation_aborted)
            co_return;
        if (failed)
            continue;
        auto accepted = std::make_shared<session>(std::move(socket), *this);
        asio::co_spawn(
            strand,
            [accepted, self = shared_from_this()]() -> asio::awaitable<void> {
                co_await accepted->run(self);
            },
            asio::detached);
    }
}

void caller_server_state::call_ended()
{
    const std::size_t left = --open_calls;
    if (left != 0 || !draining)
        return;
    asio::post(io, [self = shared_from_this()] {
        const std::function<void()> notify = std::move(self->drained);
        self->drained = nullptr;
        if (notify)
            notify();
    });
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
        state_->io,
        [kept = state_]() -> asio::awaitable<void> {
            co_await kept->accept_all();
        },
        asio::detached);
    return boost::outcome_v2::success();
}

void caller_server::drain(std::function<void()> drained)
{
    asio::post(state_->io, [kept = state_, drained = std::move(drained)] {
        kept->drained = drained;
        kept->draining = true;
        boost::system::error_code ignored;
        kept->acceptor.close(ignored);
        ++kept->open_calls;
        kept->call_ended();
    });
}

std::size_t caller_server::open_calls() const
{
    return state_->open_calls;
}

} // namespace galenarudder::proxy
