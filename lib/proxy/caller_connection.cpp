// Parses requests with Beast. While a call is watched for its caller's
// disconnection, bytes are read into the buffer from which the next request is
// parsed. A caller that pipelines more than may be buffered is watched by
// polling its socket, which shows a close behind bytes that were not read.
#include "caller_connection.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/proxy/http_fields.hpp"
#include "galenarudder/proxy/problem.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>

#include <algorithm>
#include <cassert>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
/// How long a draining daemon waits on a connection for what is in flight
/// before it closes the connection.
constexpr support::duration drain_linger = std::chrono::seconds(1);
constexpr auto write_timeout = std::chrono::seconds(60);
/// How long bytes that follow the last response are read and discarded.
constexpr support::duration close_linger = std::chrono::seconds(2);
constexpr std::size_t read_buffer_bytes = 4 * 1024;
/// Limit on the bytes that are read ahead: of pipelined requests, or of a part
/// of a body that cannot be parsed yet.
constexpr std::size_t max_read_ahead_bytes = 64 * 1024;
/// Limit while a call is watched and the shared budget has room. A close can be
/// seen only once the bytes before it are read or in the kernel's buffer.
constexpr std::size_t max_watched_bytes = 1024 * 1024;
/// A fifth of the time within which work for a caller that left must end.
constexpr support::duration close_poll_interval =
    std::chrono::milliseconds(100);

constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

refusal refused_request(refusal_kind kind, std::string detail)
{
    return {kind, run_outcome::not_run, true, support::milliseconds(0),
            std::move(detail)};
}

refusal refusal_of_head(boost::system::error_code failure,
                        bool timed_out,
                        std::uint32_t max_head_bytes)
{
    if (timed_out) {
        return refused_request(refusal_kind::request_timeout,
                               "the request's head was not received in time");
    }
    if (failure == bhttp::error::header_limit ||
        failure == bhttp::error::buffer_overflow) {
        return refused_request(refusal_kind::head_too_large,
                               "the request's head is larger than " +
                                   std::to_string(max_head_bytes) + " bytes");
    }
    return refused_request(refusal_kind::malformed_request,
                           "the request's head is malformed: " +
                               failure.message());
}

/// Returns what is ambiguous in a head that the parser accepts, if anything.
/// Recipients that interpret such a request differently allow request
/// smuggling.
std::optional<std::string> find_ambiguity(const request_parser& parser)
{
    const auto& request = parser.get();
    const bool has_transfer_coding =
        request.count(bhttp::field::transfer_encoding) != 0;
    if (has_transfer_coding && request.count(bhttp::field::content_length) != 0)
        return "both Content-Length and Transfer-Encoding are given";
    if (has_transfer_coding && (!parser.chunked() || request.version() < 11))
        return "the Transfer-Encoding is not chunked alone";
    const std::size_t hosts = request.count(bhttp::field::host);
    if (hosts > 1 || (hosts == 0 && request.version() == 11))
        return "exactly one Host field is needed";
    return std::nullopt;
}

refusal refusal_of_body(boost::system::error_code failure, bool timed_out)
{
    if (timed_out) {
        return refused_request(refusal_kind::request_timeout,
                               "the request's body was not received in time");
    }
    return refused_request(refusal_kind::malformed_request,
                           "the request's body was cut off: " +
                               failure.message());
}

body_result make_body_part(std::string data, bool last)
{
    return {link::make_chunk(std::move(data), last), {}};
}

body_result make_body_failure(boost::system::error_code failure, bool timed_out)
{
    return {std::nullopt, refusal_of_body(failure, timed_out)};
}

head_result make_head_failure(refusal reason)
{
    return {false, std::move(reason)};
}

bool has_no_body(unsigned status)
{
    return status < 200 || status == status_no_content ||
           status == status_not_modified;
}

template <typename Body>
bhttp::response<Body> build_head(const support::response_head& head,
                                 const response_framing& framing)
{
    bhttp::response<Body> response;
    response.version(framing.version);
    response.result(head.status);
    response.reason(head.reason);
    for (const support::header_field& field : head.fields)
        response.insert(field.name, field.value);
    response.keep_alive(framing.keep_alive);
    return response;
}

std::string retry_after_text(support::milliseconds retry_after, bool fractional)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    if (!fractional)
        return std::to_string(seconds.count());
    constexpr int ms_per_s = 1000;
    const std::string ms = std::to_string(retry_after.count() % ms_per_s);
    return std::to_string(retry_after.count() / ms_per_s) + "." +
           std::string(3 - ms.size(), '0') + ms;
}

bhttp::response<bhttp::string_body>
build_refusal(const refusal& reason,
              const response_framing& framing,
              const http_dialect& dialect)
{
    bhttp::response<bhttp::string_body> response;
    response.version(framing.version);
    response.result(dialect.refusal_status(reason));
    response.set(bhttp::field::content_type, problem_media_type);
    if (reason.kind == support::refusal_kind::unknown_key) {
        // RFC 9110, section 15.5.2, requires the field.
        response.set(bhttp::field::www_authenticate, dialect.key_scheme);
    }
    if (reason.retry_after.count() > 0) {
        response.set(bhttp::field::retry_after,
                     retry_after_text(reason.retry_after,
                                      dialect.fractional_retry_after));
    }
    if (reason.retry_exhausted && !dialect.no_retry.empty()) {
        response.set(beast::string_view(dialect.no_retry.data(),
                                        dialect.no_retry.size()),
                     "1");
    }
    response.keep_alive(framing.keep_alive);
    response.body() = problem_json(reason);
    response.prepare_payload();
    return response;
}

bhttp::response<bhttp::string_body>
build_recorded_response(const once::recorded_outcome& recorded,
                        const response_framing& framing)
{
    bhttp::response<bhttp::string_body> response;
    response.version(framing.version);
    response.result(recorded.status);
    if (!recorded.content_type.empty())
        response.set(bhttp::field::content_type, recorded.content_type);
    response.set(
        beast::string_view(replayed_field.data(), replayed_field.size()), "1");
    response.keep_alive(framing.keep_alive);
    response.body() = recorded.body;
    response.prepare_payload();
    return response;
}

/// Makes the serializer write \p part next. The part must live until then.
void set_body_part(bhttp::buffer_body::value_type& body, link::body_chunk& part)
{
    body.data = part.data.empty() ? nullptr : part.data.data();
    body.size = part.data.size();
    body.more = !part.last;
}

} // namespace

caller_connection::caller_connection(
    tcp::socket socket,
    const http_dialect& dialect,
    std::shared_ptr<read_ahead_budget> read_ahead)
    : stream_(std::move(socket)), dialect_(dialect),
      read_ahead_(std::move(read_ahead)),
      watch_stopped_(stream_.get_executor()),
      read_timer_(stream_.get_executor()), poll_timer_(stream_.get_executor())
{
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
}

caller_connection::~caller_connection()
{
    read_ahead_->give_back(read_ahead_taken_);
}

void caller_connection::start_read_timeout(support::duration timeout)
{
    read_timed_out_ = false;
    read_timer_.expires_after(timeout);
    read_timer_.async_wait([weak = weak_from_this(), read = ++read_number_,
                            timeout](boost::system::error_code canceled) {
        const auto self = weak.lock();
        if (!self || canceled || self->read_number_ != read)
            return;
        if (self->idle_ && self->has_open_calls_ && self->has_open_calls_())
            return self->start_read_timeout(timeout);
        self->read_timed_out_ = true;
        self->stop_read_.emit(asio::cancellation_type::terminal);
    });
}

void caller_connection::stop_read_timeout()
{
    ++read_number_;
    read_timer_.cancel();
}

/// Reads available bytes into the buffer; a response may be written at the same
/// time. Returns false if no bytes were read or the read was stopped.
asio::awaitable<bool> caller_connection::read_bytes(support::duration timeout,
                                                    std::size_t max_bytes)
{
    assert(!reading_ && !watching_ && "the connection has one read at a time");
    reading_ = true;
    read_stopped_ = false;
    start_read_timeout(timeout);
    const auto [failure, size] = co_await stream_.socket().async_read_some(
        buffer_.prepare(max_bytes),
        asio::bind_cancellation_slot(stop_read_.slot(), use_nothrow_awaitable));
    stop_read_timeout();
    reading_ = false;
    buffer_.commit(size);
    closed_by_caller_ = failure && failure != asio::error::operation_aborted;
    co_return !failure && !read_stopped_;
}

void caller_connection::stop_reading()
{
    read_stopped_ = true;
    stop_read_.emit(asio::cancellation_type::terminal);
}

asio::awaitable<bool>
caller_connection::wait_for_request(std::function<bool()> has_open_calls)
{
    has_open_calls_ = std::move(has_open_calls);
    if (buffer_.size() != 0)
        co_return true;
    if (!draining_) {
        idle_ = true;
        const bool request_begun =
            co_await read_bytes(limits_.idle_time, read_buffer_bytes);
        idle_ = false;
        if (request_begun)
            co_return true;
    }
    // A drain ends the wait, but a request that is in flight is still served.
    if (!draining_ || closed_by_caller_ || waiting_stopped_)
        co_return false;
    idle_ = true;
    const bool request_begun =
        co_await read_bytes(drain_linger, read_buffer_bytes);
    idle_ = false;
    co_return request_begun;
}

void caller_connection::stop_waiting()
{
    waiting_stopped_ = true;
    stop_reading();
}

bool caller_connection::has_closed()
{
    if (closed_by_caller_)
        return true;
    pollfd state{stream_.socket().native_handle(), POLLRDHUP, 0};
    closed_by_caller_ = ::poll(&state, 1, 0) > 0;
    return closed_by_caller_;
}

asio::awaitable<head_result>
caller_connection::read_head(request_parser& parser)
{
    parser.header_limit(limits_.head_bytes);
    parser.body_limit(boost::none);
    const support::time_point deadline =
        support::monotonic_clock::now() + limits_.head_time;
    head_result result;
    give_back_read_ahead();
    while (!parser.is_header_done()) {
        boost::system::error_code failure;
        buffer_.consume(parser.put(buffer_.data(), failure));
        if (!failure || parser.is_header_done())
            continue;
        bool more = failure == bhttp::error::need_more;
        if (more) {
            const support::duration left =
                deadline - support::monotonic_clock::now();
            more = co_await read_bytes(std::max(left, support::duration(1)),
                                       read_buffer_bytes);
        }
        if (more)
            continue;
        if (closed_by_caller_ && !parser.got_some())
            co_return result;
        if (closed_by_caller_)
            failure = bhttp::error::partial_message;
        result.refusal =
            refusal_of_head(failure, read_timed_out_, limits_.head_bytes);
        co_return result;
    }
    const std::optional<std::string> ambiguity = find_ambiguity(parser);
    if (ambiguity) {
        co_return make_head_failure(
            refused_request(refusal_kind::malformed_request, *ambiguity));
    }
    result.ready = true;
    co_return result;
}

asio::awaitable<bool> caller_connection::write_continue()
{
    static constexpr std::string_view continue_response =
        "HTTP/1.1 100 Continue\r\n\r\n";
    stream_.expires_after(write_timeout);
    const auto [failure, size] = co_await asio::async_write(
        stream_, asio::buffer(continue_response), use_nothrow_awaitable);
    co_return !failure;
}

asio::awaitable<body_result>
caller_connection::read_body_part(request_parser& parser,
                                  support::duration timeout)
{
    std::string part;
    while (!parser.is_done()) {
        part.resize(link::max_body_part_bytes);
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        boost::system::error_code failure;
        const std::size_t consumed = parser.put(buffer_.data(), failure);
        buffer_.consume(consumed);
        part.resize(part.size() - parser.get().body().size);
        if (!part.empty())
            co_return make_body_part(std::move(part), parser.is_done());
        if (failure && failure != bhttp::error::need_more)
            co_return make_body_failure(failure, read_timed_out_);
        if (consumed != 0)
            continue;
        // The parser does not limit the length of a chunk's header.
        if (buffer_.size() >= max_read_ahead_bytes) {
            co_return make_body_failure(bhttp::error::buffer_overflow,
                                        read_timed_out_);
        }
        const bool more =
            co_await read_bytes(timeout, link::max_body_part_bytes);
        if (!more) {
            co_return make_body_failure(bhttp::error::partial_message,
                                        read_timed_out_);
        }
    }
    co_return make_body_part(std::string(), true);
}

asio::awaitable<bool>
caller_connection::write_response(const support::response_head& head,
                                  link::exchange_ptr exchange,
                                  std::shared_ptr<held_claim> claim,
                                  response_framing framing)
{
    if (claim)
        claim->on_response(head);
    bool complete = false;
    if (framing.head_only || has_no_body(head.status))
        complete = co_await write_without_body(head, exchange, framing);
    else
        complete = co_await write_with_body(head, exchange, claim, framing);
    if (claim)
        claim->on_response_end(complete);
    co_return complete;
}

/// Writes a response without a body. The exchange's body must still end without
/// being cut off.
asio::awaitable<bool>
caller_connection::write_without_body(const support::response_head& head,
                                      link::exchange_ptr exchange,
                                      response_framing framing)
{
    auto response = build_head<bhttp::empty_body>(head, framing);
    if (head.content_length && !has_no_body(head.status))
        response.content_length(*head.content_length);
    stream_.expires_after(write_timeout);
    const auto [failure, size] =
        co_await bhttp::async_write(stream_, response, use_nothrow_awaitable);
    if (failure)
        co_return false;
    for (;;) {
        const auto part = co_await exchange->response_body.read();
        if (!part)
            co_return false;
        if (part->last)
            co_return true;
    }
}

asio::awaitable<bool>
caller_connection::write_with_body(const support::response_head& head,
                                   link::exchange_ptr exchange,
                                   std::shared_ptr<held_claim> claim,
                                   response_framing framing)
{
    auto response = build_head<bhttp::buffer_body>(head, framing);
    if (head.content_length)
        response.content_length(*head.content_length);
    else if (framing.version >= 11)
        response.chunked(true);
    response.body().data = nullptr;
    response.body().more = true;
    bhttp::response_serializer<bhttp::buffer_body> serializer{response};
    // A part of the body that is already available is written together with the
    // head.
    std::optional<link::body_chunk> part = exchange->response_body.try_read();
    if (!part) {
        stream_.expires_after(write_timeout);
        const auto [failure, size] = co_await bhttp::async_write_header(
            stream_, serializer, use_nothrow_awaitable);
        if (failure)
            co_return false;
        part = co_await exchange->response_body.read();
    }
    while (part) {
        if (claim)
            claim->on_response_part(part->data);
        set_body_part(response.body(), *part);
        stream_.expires_after(write_timeout);
        const auto [failure, size] = co_await bhttp::async_write(
            stream_, serializer, use_nothrow_awaitable);
        if (failure && failure != bhttp::error::need_buffer)
            co_return false;
        if (part->last)
            co_return true;
        part = co_await exchange->response_body.read();
    }
    co_return false;
}

asio::awaitable<bool>
caller_connection::write_recorded(const once::recorded_outcome& recorded,
                                  response_framing framing)
{
    auto response = build_recorded_response(recorded, framing);
    stream_.expires_after(write_timeout);
    const auto [failure, size] =
        co_await bhttp::async_write(stream_, response, use_nothrow_awaitable);
    co_return !failure;
}

asio::awaitable<bool> caller_connection::write_refusal(const refusal& reason,
                                                       response_framing framing)
{
    auto response = build_refusal(reason, framing, dialect_);
    stream_.expires_after(write_timeout);
    if (framing.head_only) {
        bhttp::response_serializer<bhttp::string_body> serializer{response};
        const auto [failure, size] = co_await bhttp::async_write_header(
            stream_, serializer, use_nothrow_awaitable);
        co_return !failure;
    }
    const auto [failure, size] =
        co_await bhttp::async_write(stream_, response, use_nothrow_awaitable);
    co_return !failure;
}

void caller_connection::watch_for_close(std::function<void()> on_closed)
{
    on_closed_ = std::move(on_closed);
    if (!watching_)
        continue_watching();
}

void caller_connection::watch_between_reads(std::function<void()> on_closed)
{
    on_closed_ = std::move(on_closed);
    poll_for_close();
}

/// Returns whether further bytes may be buffered, and takes them from the
/// budget if they are more than every connection may read.
bool caller_connection::may_read_ahead()
{
    if (buffer_.size() < max_read_ahead_bytes)
        return true;
    if (buffer_.size() >= max_watched_bytes)
        return false;
    if (max_read_ahead_bytes + read_ahead_taken_ >=
        buffer_.size() + read_buffer_bytes)
        return true;
    if (!read_ahead_->take(read_buffer_bytes))
        return false;
    read_ahead_taken_ += read_buffer_bytes;
    return true;
}

/// Gives back what was taken for bytes that have been parsed since.
void caller_connection::give_back_read_ahead()
{
    if (read_ahead_taken_ == 0 || buffer_.size() >= max_read_ahead_bytes)
        return;
    read_ahead_->give_back(read_ahead_taken_);
    read_ahead_taken_ = 0;
    buffer_.shrink_to_fit();
}

void caller_connection::poll_for_close()
{
    poll_timer_.expires_after(close_poll_interval);
    poll_timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code canceled) {
            const auto self = weak.lock();
            if (!self || canceled || !self->on_closed_)
                return;
            if (!self->reading_ && !self->watching_ && self->has_closed())
                self->report_close();
            else
                self->poll_for_close();
        });
}

void caller_connection::report_close()
{
    const std::function<void()> on_closed = std::move(on_closed_);
    on_closed_ = nullptr;
    on_closed();
}

void caller_connection::continue_watching()
{
    if (!may_read_ahead())
        return poll_for_close();
    poll_timer_.cancel();
    assert(!reading_ && "the connection has one read at a time");
    watching_ = true;
    stream_.socket().async_read_some(
        buffer_.prepare(read_buffer_bytes),
        asio::bind_cancellation_slot(
            stop_watch_.slot(),
            [self = shared_from_this()](boost::system::error_code failure,
                                        std::size_t size) {
                self->on_watch_read(failure, size);
            }));
}

void caller_connection::on_watch_read(boost::system::error_code failure,
                                      std::size_t size)
{
    watching_ = false;
    buffer_.commit(size);
    watch_stopped_.cancel();
    if (!on_closed_ || failure == asio::error::operation_aborted)
        return;
    if (!failure)
        return continue_watching();
    report_close();
}

asio::awaitable<void> caller_connection::stop_watching()
{
    on_closed_ = nullptr;
    poll_timer_.cancel();
    if (watching_)
        stop_watch_.emit(asio::cancellation_type::terminal);
    while (watching_) {
        watch_stopped_.expires_at(asio::steady_timer::time_point::max());
        co_await watch_stopped_.async_wait(use_nothrow_awaitable);
    }
}

void caller_connection::drain()
{
    draining_ = true;
    if (idle_)
        stop_read_.emit(asio::cancellation_type::terminal);
}

asio::awaitable<void> caller_connection::close(bool more_may_follow)
{
    boost::system::error_code ignored;
    if (resets_on_close_) {
        stream_.socket().set_option(asio::socket_base::linger(true, 0),
                                    ignored);
        stream_.close();
        co_return;
    }
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (!more_may_follow || closed_by_caller_)
        co_return;
    // Closing a socket with unread bytes resets the connection, and the caller
    // could lose the response.
    const support::duration linger = draining_ ? drain_linger : close_linger;
    const support::time_point end = support::monotonic_clock::now() + linger;
    bool more = true;
    while (more) {
        buffer_.clear();
        const support::duration left = end - support::monotonic_clock::now();
        more = left > support::duration(0) &&
               co_await read_bytes(left, link::max_body_part_bytes);
    }
}

} // namespace galenarudder::proxy
