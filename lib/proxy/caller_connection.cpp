// Reads by Beast's parsers; the watch reads straight into the buffer that
// the next parser begins with.
#include "caller_connection.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/proxy/http_fields.hpp"
#include "galenarudder/proxy/problem.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
/// How long a draining daemon answers further requests on a connection
/// before it closes it.
constexpr auto drain_linger = std::chrono::seconds(1);
constexpr auto write_timeout = std::chrono::seconds(60);
/// How long a refused caller may still send its body.
constexpr auto close_linger = std::chrono::seconds(2);
constexpr std::size_t read_size = 4 * 1024;
/// Pipelined requests are read ahead up to this size.
constexpr std::size_t max_read_ahead_bytes = 64 * 1024;

constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

refusal refused_request(refusal_kind kind, std::string detail)
{
    return {kind, run_outcome::not_run, true, support::milliseconds(0),
            std::move(detail)};
}

refusal head_failure(boost::system::error_code failed,
                     bool timed_out,
                     std::uint32_t max_head_bytes)
{
    if (timed_out) {
        return refused_request(refusal_kind::request_timeout,
                               "the request's head came too slowly");
    }
    if (failed == bhttp::error::header_limit ||
        failed == bhttp::error::buffer_overflow) {
        return refused_request(refusal_kind::head_too_large,
                               "the request's head is larger than " +
                                   std::to_string(max_head_bytes) + " bytes");
    }
    return refused_request(refusal_kind::malformed_request,
                           "the request's head is malformed: " +
                               failed.message());
}

/// Checks what the parser lets pass but would be read in two ways.
std::optional<std::string> ambiguity(const request_parser& parser)
{
    const auto& request = parser.get();
    const bool has_coding = request.count(bhttp::field::transfer_encoding) != 0;
    if (has_coding && request.count(bhttp::field::content_length) != 0)
        return "both Content-Length and Transfer-Encoding are given";
    if (has_coding && (!parser.chunked() || request.version() < 11))
        return "the Transfer-Encoding is not chunked alone";
    const std::size_t hosts = request.count(bhttp::field::host);
    if (hosts > 1 || (hosts == 0 && request.version() == 11))
        return "exactly one Host field is needed";
    return std::nullopt;
}

refusal body_failure(boost::system::error_code failed, bool timed_out)
{
    if (timed_out) {
        return refused_request(refusal_kind::request_timeout,
                               "the request's body came too slowly");
    }
    return refused_request(refusal_kind::malformed_request,
                           "the request's body broke off: " + failed.message());
}

body_read read_part(std::string data, bool last)
{
    return {link::make_chunk(std::move(data), last), {}};
}

body_read read_failure(boost::system::error_code failed, bool timed_out)
{
    return {std::nullopt, body_failure(failed, timed_out)};
}

head_read head_refused(refusal why)
{
    return {false, std::move(why)};
}

bool has_no_body(unsigned status)
{
    return status < 200 || status == status_no_content ||
           status == status_not_modified;
}

template <typename Body>
bhttp::response<Body> build_head(const support::answer_head& head,
                                 const answer_framing& framing)
{
    bhttp::response<Body> answer;
    answer.version(framing.version);
    answer.result(head.status);
    answer.reason(head.reason);
    for (const support::header_field& field : head.fields)
        answer.insert(field.name, field.value);
    answer.keep_alive(framing.keep_alive);
    return answer;
}

std::string retry_after_text(support::milliseconds wait, bool fractional)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
    if (!fractional)
        return std::to_string(seconds.count());
    constexpr int ms_per_s = 1000;
    const std::string ms = std::to_string(wait.count() % ms_per_s);
    return std::to_string(wait.count() / ms_per_s) + "." +
           std::string(3 - ms.size(), '0') + ms;
}

bhttp::response<bhttp::string_body> build_refusal(const refusal& why,
                                                  const answer_framing& framing,
                                                  const http_dialect& dialect)
{
    bhttp::response<bhttp::string_body> answer;
    answer.version(framing.version);
    answer.result(dialect.refusal_status(why));
    answer.set(bhttp::field::content_type, problem_type);
    if (why.retry_after.count() > 0) {
        answer.set(
            bhttp::field::retry_after,
            retry_after_text(why.retry_after, dialect.fractional_retry_after));
    }
    if (why.retry_exhausted && !dialect.no_retry.empty()) {
        answer.set(beast::string_view(dialect.no_retry.data(),
                                      dialect.no_retry.size()),
                   "1");
    }
    answer.keep_alive(framing.keep_alive);
    answer.body() = problem_json(why);
    answer.prepare_payload();
    return answer;
}

bhttp::response<bhttp::string_body>
build_recorded(const once::recorded_outcome& recorded,
               const answer_framing& framing)
{
    bhttp::response<bhttp::string_body> answer;
    answer.version(framing.version);
    answer.result(recorded.status);
    if (!recorded.content_type.empty())
        answer.set(bhttp::field::content_type, recorded.content_type);
    answer.set(beast::string_view(replayed_field.data(), replayed_field.size()),
               "1");
    answer.keep_alive(framing.keep_alive);
    answer.body() = recorded.body;
    answer.prepare_payload();
    return answer;
}

/// Points the answer at the next part of its body.
void put_part(bhttp::buffer_body::value_type& body, link::body_chunk& part)
{
    body.data = part.data.empty() ? nullptr : part.data.data();
    body.size = part.data.size();
    body.more = !part.last;
}

} // namespace

caller_connection::caller_connection(tcp::socket socket,
                                     const http_dialect& dialect)
    : stream_(std::move(socket)), dialect_(dialect),
      watch_ended_(stream_.get_executor()), read_limit_(stream_.get_executor())
{
    boost::system::error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
}

void caller_connection::limit_read(support::duration patience,
                                   bool stops_writes)
{
    read_timed_out_ = false;
    read_limit_.expires_after(patience);
    read_limit_.async_wait([weak = weak_from_this(), read = ++reads_, patience,
                            stops_writes](boost::system::error_code canceled) {
        const auto self = weak.lock();
        if (!self || canceled || self->reads_ != read)
            return;
        if (!stops_writes && self->idle_ && self->busy_ && self->busy_())
            return self->limit_read(patience, stops_writes);
        self->read_timed_out_ = true;
        if (stops_writes)
            self->stream_.cancel();
        else
            self->stop_read_.emit(asio::cancellation_type::terminal);
    });
}

void caller_connection::end_read_limit()
{
    ++reads_;
    read_limit_.cancel();
}

/// Reads what comes next; an answer may be written at the same time.
asio::awaitable<bool> caller_connection::read_bytes(support::duration patience)
{
    limit_read(patience, false);
    const auto [failed, size] = co_await stream_.socket().async_read_some(
        buffer_.prepare(read_size),
        asio::bind_cancellation_slot(stop_read_.slot(), awaiting));
    end_read_limit();
    buffer_.commit(size);
    closed_by_caller_ = failed && failed != asio::error::operation_aborted;
    co_return !failed;
}

asio::awaitable<bool>
caller_connection::wait_for_request(std::function<bool()> busy)
{
    busy_ = std::move(busy);
    if (buffer_.size() != 0)
        co_return true;
    if (!draining_) {
        idle_ = true;
        const bool begun = co_await read_bytes(limits_.idle_time);
        idle_ = false;
        if (begun)
            co_return true;
    }
    // A drain ends the wait; a request that was on its way is still answered.
    if (!draining_ || closed_by_caller_ || waiting_stopped_)
        co_return false;
    idle_ = true;
    const bool begun = co_await read_bytes(drain_linger);
    idle_ = false;
    co_return begun;
}

void caller_connection::stop_waiting()
{
    waiting_stopped_ = true;
    if (idle_)
        stop_read_.emit(asio::cancellation_type::terminal);
}

asio::awaitable<head_read> caller_connection::read_head(request_parser& parser)
{
    parser.header_limit(limits_.head_bytes);
    parser.body_limit(boost::none);
    const support::time_point end =
        support::monotonic_clock::now() + limits_.head_time;
    head_read found;
    while (!parser.is_header_done()) {
        boost::system::error_code failed;
        buffer_.consume(parser.put(buffer_.data(), failed));
        if (!failed || parser.is_header_done())
            continue;
        bool more = failed == bhttp::error::need_more;
        if (more) {
            const support::duration left =
                end - support::monotonic_clock::now();
            more = co_await read_bytes(std::max(left, support::duration(1)));
        }
        if (more)
            continue;
        if (closed_by_caller_ && !parser.got_some())
            co_return found;
        if (closed_by_caller_)
            failed = bhttp::error::partial_message;
        found.why = head_failure(failed, read_timed_out_, limits_.head_bytes);
        co_return found;
    }
    const std::optional<std::string> unclear = ambiguity(parser);
    if (unclear) {
        co_return head_refused(
            refused_request(refusal_kind::malformed_request, *unclear));
    }
    found.ready = true;
    co_return found;
}

asio::awaitable<bool> caller_connection::write_continue()
{
    static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
    stream_.expires_after(write_timeout);
    const auto [failed, size] =
        co_await asio::async_write(stream_, asio::buffer(line), awaiting);
    co_return !failed;
}

asio::awaitable<body_read>
caller_connection::read_body_part(request_parser& parser,
                                  support::duration patience)
{
    std::string part;
    while (!parser.is_done()) {
        part.resize(link::max_body_part_bytes);
        parser.get().body().data = part.data();
        parser.get().body().size = part.size();
        limit_read(patience);
        const auto [failed, size] =
            co_await bhttp::async_read_some(stream_, buffer_, parser, awaiting);
        end_read_limit();
        if (failed && failed != bhttp::error::need_buffer)
            co_return read_failure(failed, read_timed_out_);
        part.resize(part.size() - parser.get().body().size);
        if (!part.empty())
            co_return read_part(std::move(part), parser.is_done());
    }
    co_return read_part(std::string(), true);
}

asio::awaitable<bool>
caller_connection::write_answer(const support::answer_head& head,
                                link::exchange_ptr from,
                                std::shared_ptr<held_claim> claim,
                                answer_framing framing)
{
    if (claim)
        claim->on_answer(head);
    bool whole = false;
    if (framing.head_only || has_no_body(head.status))
        whole = co_await write_bare(head, from, framing);
    else
        whole = co_await write_whole(head, from, claim, framing);
    if (claim)
        claim->on_answer_end(whole);
    co_return whole;
}

/// Writes an answer that has no body; the pipe must still end whole.
asio::awaitable<bool>
caller_connection::write_bare(const support::answer_head& head,
                              link::exchange_ptr from,
                              answer_framing framing)
{
    auto answer = build_head<bhttp::empty_body>(head, framing);
    if (head.content_length && !has_no_body(head.status))
        answer.content_length(*head.content_length);
    stream_.expires_after(write_timeout);
    const auto [failed, size] =
        co_await bhttp::async_write(stream_, answer, awaiting);
    if (failed)
        co_return false;
    for (;;) {
        const auto part = co_await from->answer.read();
        if (!part)
            co_return false;
        if (part->last)
            co_return true;
    }
}

asio::awaitable<bool>
caller_connection::write_whole(const support::answer_head& head,
                               link::exchange_ptr from,
                               std::shared_ptr<held_claim> claim,
                               answer_framing framing)
{
    auto answer = build_head<bhttp::buffer_body>(head, framing);
    if (head.content_length)
        answer.content_length(*head.content_length);
    else if (framing.version >= 11)
        answer.chunked(true);
    answer.body().data = nullptr;
    answer.body().more = true;
    bhttp::response_serializer<bhttp::buffer_body> serializer{answer};
    // A body that is there already leaves in one write with the head.
    std::optional<link::body_chunk> part = from->answer.try_read();
    if (!part) {
        stream_.expires_after(write_timeout);
        const auto [failed, size] =
            co_await bhttp::async_write_header(stream_, serializer, awaiting);
        if (failed)
            co_return false;
        part = co_await from->answer.read();
    }
    while (part) {
        if (claim)
            claim->on_answer_part(part->data);
        put_part(answer.body(), *part);
        stream_.expires_after(write_timeout);
        const auto [failed, size] =
            co_await bhttp::async_write(stream_, serializer, awaiting);
        if (failed && failed != bhttp::error::need_buffer)
            co_return false;
        if (part->last)
            co_return true;
        part = co_await from->answer.read();
    }
    co_return false;
}

asio::awaitable<bool>
caller_connection::write_recorded(const once::recorded_outcome& recorded,
                                  answer_framing framing)
{
    auto answer = build_recorded(recorded, framing);
    stream_.expires_after(write_timeout);
    const auto [failed, size] =
        co_await bhttp::async_write(stream_, answer, awaiting);
    co_return !failed;
}

asio::awaitable<bool> caller_connection::write_refusal(const refusal& why,
                                                       answer_framing framing)
{
    auto answer = build_refusal(why, framing, dialect_);
    stream_.expires_after(write_timeout);
    if (framing.head_only) {
        bhttp::response_serializer<bhttp::string_body> serializer{answer};
        const auto [failed, size] =
            co_await bhttp::async_write_header(stream_, serializer, awaiting);
        co_return !failed;
    }
    const auto [failed, size] =
        co_await bhttp::async_write(stream_, answer, awaiting);
    co_return !failed;
}

void caller_connection::watch(std::function<void()> gone)
{
    gone_ = std::move(gone);
    if (!watching_)
        watch_next();
}

void caller_connection::watch_next()
{
    if (buffer_.size() >= max_read_ahead_bytes)
        return;
    watching_ = true;
    stream_.socket().async_read_some(
        buffer_.prepare(read_size),
        asio::bind_cancellation_slot(
            stop_watch_.slot(),
            [self = shared_from_this()](boost::system::error_code failed,
                                        std::size_t size) {
                self->on_watched(failed, size);
            }));
}

void caller_connection::on_watched(boost::system::error_code failed,
                                   std::size_t size)
{
    watching_ = false;
    buffer_.commit(size);
    watch_ended_.cancel();
    if (!gone_ || failed == asio::error::operation_aborted)
        return;
    if (!failed)
        return watch_next();
    const std::function<void()> gone = std::move(gone_);
    gone_ = nullptr;
    gone();
}

asio::awaitable<void> caller_connection::end_watch()
{
    gone_ = nullptr;
    if (watching_)
        stop_watch_.emit(asio::cancellation_type::terminal);
    while (watching_) {
        watch_ended_.expires_at(asio::steady_timer::time_point::max());
        co_await watch_ended_.async_wait(awaiting);
    }
}

void caller_connection::drain()
{
    draining_ = true;
    if (idle_)
        stop_read_.emit(asio::cancellation_type::terminal);
}

asio::awaitable<void> caller_connection::close(bool unread_body)
{
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    if (!unread_body)
        co_return;
    // Closing with bytes unread resets the connection, and the caller could
    // lose the answer.
    stream_.expires_after(close_linger);
    for (;;) {
        buffer_.clear();
        const auto [failed, size] = co_await stream_.async_read_some(
            buffer_.prepare(link::max_body_part_bytes), awaiting);
        if (failed)
            co_return;
    }
}

} // namespace galenarudder::proxy
