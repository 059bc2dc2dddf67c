// One coroutine runs each attempt; a second one sends the request, so that a
// response that begins before the body was sent is seen.
#include "galenarudder/proxy/upstream_client.hpp"

#include "connection_pool.hpp"
#include "response_identity.hpp"
#include "response_reader.hpp"

#include "galenarudder/http/read_response.hpp"
#include "galenarudder/link/message.hpp"
#include "galenarudder/proxy/http_fields.hpp"
#include "galenarudder/support/child_task.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstring>
#include <optional>
#include <span>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr auto use_nothrow_awaitable = asio::as_tuple(asio::use_awaitable);
/// Time after the deadline within which a response must begin: the upstream
/// stops work at the deadline, and the response may still be in flight.
constexpr auto response_grace = std::chrono::milliseconds(250);
/// Longest time between two parts of a response body. In dialects with
/// signatures the deadline also bounds the time that the upstream takes for the
/// whole body.
constexpr auto body_read_timeout = std::chrono::seconds(60);
/// Response bodies up to this size are read completely before any part is
/// forwarded, so that the entry can still replace one that is cut off.
constexpr std::size_t max_buffered_response_bytes = 64 * 1024;
/// Responses to other calls that are skipped on one connection.
constexpr unsigned max_unrelated_responses = 4;
/// Bodies of responses to other calls are read up to this size, so that the
/// response to this call is found behind them. A call that was sent cannot be
/// sent again, so the limit only bounds what an endless body costs.
constexpr std::size_t max_unrelated_body_bytes = 16 * 1024 * 1024;
/// Bodies of refusals are read up to this size, so that the connection can be
/// reused.
constexpr std::size_t max_refusal_body_bytes = 64 * 1024;
/// Longest time for which the body of a refusal is read after the refusal was
/// delivered.
constexpr auto max_refusal_body_time = std::chrono::seconds(1);
/// Largest body of a response to a load query, which states the load in its
/// head.
constexpr std::uint64_t max_load_body_bytes = 64 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_multiple_choices = 300;
constexpr support::milliseconds shed_retry_after{1000};
constexpr support::milliseconds shed_retry_after_if_idle{50};

/// A repeatable call uses any connection that should still be open.
constexpr support::duration any_idle_time = support::duration::max();
/// A call that is not repeatable cannot be sent again if the upstream closes
/// its idle connection while the request is in flight.
constexpr support::duration max_idle_time_unrepeatable =
    std::chrono::seconds(1);
/// Share of the stated idle timeout within which a connection is reused; the
/// rest covers the time that the request is in flight.
constexpr double usable_share_of_idle_timeout = 0.8;

bool has_body(const support::call_head& head)
{
    return !head.content_length || *head.content_length != 0;
}

bhttp::request<bhttp::buffer_body> build_request(const support::call_head& head,
                                                 const std::string& host,
                                                 support::duration remaining,
                                                 const std::string& instance,
                                                 const http_dialect& dialect)
{
    bhttp::request<bhttp::buffer_body> request;
    request.version(11);
    request.method_string(head.method);
    request.target(head.target);
    for (const support::header_field& field : head.fields)
        request.insert(field.name, field.value);
    if (request.find(bhttp::field::host) == request.end())
        request.set(bhttp::field::host, host);
    const auto remaining_ms =
        std::chrono::duration_cast<support::milliseconds>(remaining).count();
    const auto set = [&](std::string_view name, std::string_view value) {
        if (name.empty() || value.empty())
            return;
        request.set(beast::string_view(name.data(), name.size()),
                    beast::string_view(value.data(), value.size()));
    };
    set(dialect.deadline, std::to_string(std::max<long>(0, remaining_ms)));
    set(dialect.rank, head.rank);
    set(dialect.depth, std::to_string(head.depth));
    set(dialect.expected_instance, instance);
    if (head.content_length && *head.content_length != 0)
        request.content_length(*head.content_length);
    if (!head.content_length)
        request.chunked(true);
    request.body().data = nullptr;
    request.body().more = has_body(head);
    return request;
}

/// Returns how long the connection is reused while idle: a share of the idle
/// timeout that the upstream states; 0 if it states none.
support::duration idle_timeout_of(std::string_view stated_value)
{
    const std::size_t position = stated_value.find("timeout=");
    if (position == std::string_view::npos)
        return support::duration(0);
    const std::string digits(
        stated_value.substr(position + std::strlen("timeout=")));
    const double seconds = std::strtod(digits.c_str(), nullptr);
    constexpr double ms_per_s = 1000;
    return support::from_ms(usable_share_of_idle_timeout * ms_per_s * seconds);
}

refusal canceled(run_outcome outcome)
{
    return {refusal_kind::canceled, outcome, true, support::milliseconds(0),
            "the entry canceled the call"};
}

refusal deadline_passed()
{
    return {refusal_kind::deadline_exceeded, run_outcome::not_run, false,
            support::milliseconds(0),
            "the deadline passed before the call was sent"};
}

/// An upstream that sheds while it has free slots does so for another reason
/// than load, and may serve the next call.
refusal shed_by_upstream(const support::load_report& load)
{
    const bool has_free_slots = 2 * load.running < load.limit;
    return {refusal_kind::upstream_shed, run_outcome::not_run, false,
            has_free_slots ? shed_retry_after_if_idle : shed_retry_after,
            "the upstream shed the call"};
}

bool is_reset(const boost::system::error_code& failure)
{
    return failure == asio::error::connection_reset ||
           failure == asio::error::broken_pipe;
}

/// Resets in a row, without a response between them, for which an upstream may
/// count as full.
constexpr unsigned max_resets_of_full_upstream = 3;

/// Returns whether so many calls run that a reset connection means that the
/// upstream is full. A single call never does.
bool is_near_limit(const support::load_report& load)
{
    constexpr double near_limit = 0.75;
    return load.running > 1 && load.running >= near_limit * load.limit;
}

/// A full upstream resets connections. It may have run a call that it was sent.
refusal full_upstream(run_outcome outcome)
{
    return {refusal_kind::upstream_shed, outcome, false, shed_retry_after,
            "the upstream reset the connection while it was full"};
}

/// The call did not run; the entry sends it to another upstream.
refusal not_available(std::string detail)
{
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            shed_retry_after, std::move(detail)};
}

refusal upstream_failure(run_outcome outcome, std::string detail)
{
    return {refusal_kind::upstream_failed, outcome, false,
            support::milliseconds(0), std::move(detail)};
}

} // namespace

std::optional<upstream_load>
load_of_instance(const support::response_head& head,
                 std::string_view instance,
                 const http_dialect& dialect)
{
    std::optional<upstream_load> load = dialect.read_load(head);
    if (!load || dialect.instance.empty())
        return load;
    const std::string_view sender = find_field(head.fields, dialect.instance);
    if (!sender.empty() && sender != instance)
        return std::nullopt;
    if (sender.empty())
        load->cold.reset();
    return load;
}

namespace {

/// An attempt while it runs; owned by its coroutines.
class running_attempt final
    : public upstream_call,
      public std::enable_shared_from_this<running_attempt>
{
public:
    running_attempt(std::shared_ptr<connection_pool> pool,
                    link::exchange_ptr attempt,
                    support::time_point deadline,
                    upstream_client::load_source get_load,
                    upstream_client::finished_handler on_finished,
                    upstream_client::demand_handler on_demand,
                    std::string instance,
                    const http_dialect& dialect)
        : pool_(std::move(pool)), attempt_(std::move(attempt)),
          deadline_(deadline), get_load_(std::move(get_load)),
          on_finished_(std::move(on_finished)),
          on_demand_(std::move(on_demand)), instance_(std::move(instance)),
          dialect_(dialect), request_task_(pool_->executor())
    {
    }

    void abort() override
    {
        aborted_ = true;
        if (reader_)
            reader_->abort();
        if (connection_)
            connection_->stream.cancel();
    }

    /// Sending begins as soon as there is a connection, and with it a reader.
    void abort_unsent() override
    {
        if (reader_)
            return;
        aborted_ = true;
        pool_->wake_waiting();
    }

    asio::awaitable<void> run();

private:
    std::optional<refusal> refusal_before_sending() const;
    asio::awaitable<upstream_result> exchange_messages();
    asio::awaitable<bool> read_matching_head(support::response_head& head);
    std::optional<refusal>
    refusal_of_response(const support::response_head& head) const;
    asio::awaitable<bool> buffer_body(std::string& body);
    asio::awaitable<upstream_result>
    forward_response(support::response_head head);
    std::chrono::steady_clock::time_point end_of_response() const;
    std::chrono::steady_clock::time_point end_of_next_part() const;
    refusal no_response(const boost::system::error_code& failure) const;
    asio::awaitable<void> send_request();
    void on_write_failure(const boost::system::error_code& failure);
    asio::awaitable<void> stop_request();
    asio::awaitable<bool> end_request();
    asio::awaitable<bool> forward_body();
    void deliver_head(support::response_head head)
    {
        attempt_->deliver(link::answered{std::move(head), get_load_()});
    }
    upstream_result refuse(refusal reason, upstream_result result)
    {
        attempt_->deliver(link::refused{std::move(reason), get_load_()});
        return result;
    }
    upstream_result refuse_without_response()
    {
        const support::load_report load = get_load_();
        const bool reset = !aborted_ && is_reset(read_failure_) &&
                           !reader_->has_received() && is_near_limit(load);
        // An upstream that answers nothing any more has failed.
        if (reset && pool_->count_reset() <= max_resets_of_full_upstream) {
            return refuse(full_upstream(sending_started_
                                            ? run_outcome::unknown
                                            : run_outcome::not_run),
                          upstream_result::shed);
        }
        return refuse(no_response(read_failure_), upstream_result::failed);
    }
    upstream_result refuse_not_run(unsigned status)
    {
        if (status == status_misdirected)
            return refuse(not_available("another upstream has the address"),
                          upstream_result::replaced);
        return refuse(shed_by_upstream(get_load_()), upstream_result::shed);
    }

    std::shared_ptr<connection_pool> pool_;
    link::exchange_ptr attempt_;
    support::time_point deadline_;
    upstream_client::load_source get_load_;
    upstream_client::finished_handler on_finished_;
    upstream_client::demand_handler on_demand_;
    std::string instance_;
    const http_dialect& dialect_;
    std::optional<upstream_load> stated_load_;
    connection_ptr connection_;
    /// Runs send_request.
    support::child_task request_task_;
    std::optional<response_reader> reader_;
    boost::system::error_code read_failure_;
    /// Time spent waiting for the caller to read the response.
    std::chrono::steady_clock::duration caller_time_{0};
    bool aborted_ = false;
    /// Whether the whole request was written.
    bool request_sent_ = false;
    /// Whether a write failed, or the caller's body was cut off.
    bool request_failed_ = false;
    /// Set before the request is stopped, whose failure is expected then.
    bool request_stopped_ = false;
    /// Set before the first write, since a write that fails may have sent some
    /// bytes.
    bool sending_started_ = false;
    /// Whether a later request on the connection could tell its response from
    /// copies of those that were read.
    bool may_reuse_ = false;
    /// Whether the response was read to its end and the connection can be used
    /// for another call.
    bool reusable_ = false;
};

asio::awaitable<void> running_attempt::run()
{
    const auto self = shared_from_this();
    const support::time_point started_at = support::monotonic_clock::now();
    bool stopped_waiting = false;
    connection_ = co_await pool_->take_connection(
        connection_purpose::calls, deadline_,
        attempt_->head.repeatable ? any_idle_time : max_idle_time_unrepeatable,
        [this, &stopped_waiting] {
            stopped_waiting = aborted_;
            return !stopped_waiting;
        });
    upstream_result result = upstream_result::failed;
    std::optional<refusal> reason = refusal_before_sending();
    if (reason) {
        if (connection_)
            pool_->give_back(connection_);
        result = refuse(std::move(*reason), connection_ || stopped_waiting
                                                ? upstream_result::not_sent
                                                : upstream_result::unreachable);
    } else {
        result = co_await exchange_messages();
        co_await stop_request();
        if (reusable_ && request_sent_ && !aborted_)
            pool_->give_back(connection_);
    }
    attempt_->request_body.abort();
    reader_.reset();
    connection_.reset();
    on_finished_(result, support::monotonic_clock::now() - started_at,
                 stated_load_);
}

/// Returns why the request must not be sent. This is checked immediately before
/// the first byte: a process that was paused since the gate started the call
/// must not send it after its deadline.
std::optional<refusal> running_attempt::refusal_before_sending() const
{
    if (aborted_)
        return canceled(run_outcome::not_run);
    if (support::monotonic_clock::now() >= deadline_)
        return deadline_passed();
    if (!connection_)
        return not_available("cannot connect to the upstream");
    return std::nullopt;
}

asio::awaitable<void> running_attempt::send_request()
{
    auto request = build_request(attempt_->head, to_string(pool_->upstream()),
                                 deadline_ - support::monotonic_clock::now(),
                                 instance_, dialect_);
    bhttp::request_serializer<bhttp::buffer_body> serializer{request};
    sending_started_ = true;
    const auto [head_failure, head_size] = co_await bhttp::async_write_header(
        connection_->stream, serializer, use_nothrow_awaitable);
    if (head_failure) {
        on_write_failure(head_failure);
        co_return;
    }
    bool more = request.body().more;
    while (more) {
        std::optional<link::body_chunk> chunk =
            co_await attempt_->request_body.read();
        if (request_stopped_)
            co_return;
        if (!chunk) {
            // The caller's body was cut off: the request cannot be completed.
            request_failed_ = true;
            connection_->stream.cancel();
            co_return;
        }
        more = !chunk->last;
        request.body().data =
            chunk->data.empty() ? nullptr : chunk->data.data();
        request.body().size = chunk->data.size();
        request.body().more = more;
        const auto [failure, size] = co_await bhttp::async_write(
            connection_->stream, serializer, use_nothrow_awaitable);
        if (failure && failure != bhttp::error::need_buffer) {
            on_write_failure(failure);
            co_return;
        }
    }
    request_sent_ = true;
}

/// A write that had failed before the request was stopped may report so only
/// afterwards, by another error than those of a closed socket.
void running_attempt::on_write_failure(const boost::system::error_code& failure)
{
    const bool is_stopped =
        request_stopped_ && (failure == asio::error::operation_aborted ||
                             failure == asio::error::bad_descriptor);
    request_failed_ = request_failed_ || !is_stopped;
}

/// Ends a request that was not sent to its end, and closes its connection.
asio::awaitable<void> running_attempt::stop_request()
{
    if (!request_task_.running())
        co_return;
    reusable_ = false;
    request_stopped_ = true;
    attempt_->request_body.abort();
    connection_->stream.close();
    co_await request_task_.join();
}

/// Ends the request of a response that the end of the connection ended. Returns
/// whether no write has failed.
asio::awaitable<bool> running_attempt::end_request()
{
    co_await stop_request();
    co_return !request_failed_;
}

asio::awaitable<upstream_result> running_attempt::exchange_messages()
{
    request_task_.start([self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->send_request();
    });
    // Owned by this object, which outlives its reader.
    reader_.emplace(*connection_, attempt_->head.method == "HEAD",
                    [this] { return end_request(); });
    support::response_head head;
    if (!co_await read_matching_head(head))
        co_return refuse_without_response();
    pool_->on_response();
    connection_->idle_timeout =
        idle_timeout_of(reader_->keep_alive_parameters());
    stated_load_ = load_of_instance(head, instance_, dialect_);
    if (on_demand_ && head.status != status_misdirected)
        on_demand_(dialect_.read_demand(head));
    if (dialect_.states_not_run(head)) {
        // The caller need not wait for the body, which may trickle.
        const upstream_result result = refuse_not_run(head.status);
        const auto end = std::min<std::chrono::steady_clock::time_point>(
            end_of_response(),
            std::chrono::steady_clock::now() + max_refusal_body_time);
        // A connection that is closed with unread bytes would be reset.
        const bool ended =
            co_await reader_->skip_body(max_refusal_body_bytes, end);
        reusable_ = ended && may_reuse_;
        co_return result;
    }
    std::optional<refusal> reason = refusal_of_response(head);
    if (reason)
        co_return refuse(std::move(*reason), upstream_result::failed);
    co_return co_await forward_response(std::move(head));
}

/// Reads response heads up to the one that belongs to this call: an upstream
/// may have answered an earlier call twice.
asio::awaitable<bool>
running_attempt::read_matching_head(support::response_head& head)
{
    const sent_request sent{request_id_of(attempt_->head, dialect_),
                            attempt_->head.repeatable};
    for (unsigned unrelated = 0; unrelated <= max_unrelated_responses;
         ++unrelated) {
        read_failure_ = co_await reader_->read_head(end_of_response());
        if (read_failure_)
            co_return false;
        head = reader_->head();
        const response_verdict verdict = judge_response(head, sent, dialect_);
        may_reuse_ = verdict.may_reuse;
        if (verdict.belongs)
            co_return true;
        if (!co_await reader_->skip_body(max_unrelated_body_bytes,
                                         end_of_response()))
            break;
    }
    read_failure_ = bhttp::error::bad_field;
    co_return false;
}

/// Returns why a response must not be forwarded: it lacks the upstream's
/// signature, or it would tell the caller that the call did not run although it
/// may have.
std::optional<refusal>
running_attempt::refusal_of_response(const support::response_head& head) const
{
    if (dialect_.promises_not_run(head.status)) {
        return upstream_failure(
            run_outcome::unknown,
            "the upstream answered status " + std::to_string(head.status) +
                " without stating that the call did not run");
    }
    const bool success =
        head.status >= status_ok && head.status < status_multiple_choices;
    if (!success || dialect_.signature.empty())
        return std::nullopt;
    if (find_field(head.fields, dialect_.signature).empty()) {
        return upstream_failure(run_outcome::unknown,
                                "the upstream's response has no signature");
    }
    if (!find_field(head.fields, "Content-Encoding").empty()) {
        return upstream_failure(
            run_outcome::unknown,
            "the upstream's response has a Content-Encoding that "
            "was not requested");
    }
    return std::nullopt;
}

/// Reads the body into \p body, up to the size of buffered responses. Returns
/// false if the body was cut off.
asio::awaitable<bool> running_attempt::buffer_body(std::string& body)
{
    while (!reader_->is_done() && body.size() < max_buffered_response_bytes) {
        const std::size_t old_size = body.size();
        body.resize(old_size + link::max_body_part_bytes);
        const part_read part = co_await reader_->read_part(
            std::span(body).subspan(old_size), end_of_response());
        body.resize(old_size + part.size);
        if (part.failure) {
            read_failure_ = part.failure;
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<upstream_result>
running_attempt::forward_response(support::response_head head)
{
    // A response without a length may be a stream and is forwarded as it
    // arrives, unless the dialect has signatures, which cover the complete
    // response.
    const bool has_length = head.content_length.has_value();
    std::string body;
    if ((has_length || !dialect_.signature.empty()) &&
        !co_await buffer_body(body))
        co_return refuse(no_response(read_failure_), upstream_result::failed);
    const bool complete =
        reader_->is_done() && (has_length || !dialect_.signature.empty());
    const bool is_head = attempt_->head.method == "HEAD";
    if (complete && !is_head)
        head.content_length = body.size();
    std::string_view remaining = body;
    while (!remaining.empty()) {
        const std::string_view part =
            remaining.substr(0, link::max_body_part_bytes);
        remaining.remove_prefix(part.size());
        attempt_->response_body.try_write(
            link::make_chunk(std::string(part), complete && remaining.empty()));
    }
    if (complete && body.empty())
        attempt_->response_body.try_write(
            link::make_chunk(std::string(), true));
    deliver_head(std::move(head));
    const bool complete_body = complete || co_await forward_body();
    reusable_ = complete_body && may_reuse_ && reader_->keeps_connection();
    co_return complete_body ? upstream_result::answered
                            : upstream_result::failed;
}

refusal
running_attempt::no_response(const boost::system::error_code& failure) const
{
    const run_outcome outcome =
        sending_started_ ? run_outcome::unknown : run_outcome::not_run;
    if (aborted_)
        return canceled(outcome);
    return upstream_failure(outcome,
                            "no complete response from the upstream: " +
                                failure.message());
}

/// Returns when a response must have begun, and must have ended if the dialect
/// has signatures.
std::chrono::steady_clock::time_point running_attempt::end_of_response() const
{
    return std::chrono::steady_clock::time_point(deadline_.time_since_epoch()) +
           response_grace;
}

/// Returns when the next part of a body that is being forwarded must have
/// arrived.
std::chrono::steady_clock::time_point running_attempt::end_of_next_part() const
{
    const auto end = std::chrono::steady_clock::now() + body_read_timeout;
    return dialect_.signature.empty()
               ? end
               : std::min(end, end_of_response() + caller_time_);
}

asio::awaitable<bool> running_attempt::forward_body()
{
    std::string part;
    while (!reader_->is_done()) {
        part.resize(link::max_body_part_bytes);
        const part_read read =
            co_await reader_->read_part(part, end_of_next_part());
        if (read.failure) {
            attempt_->response_body.abort();
            co_return false;
        }
        part.resize(read.size);
        if (part.empty())
            continue;
        link::body_chunk chunk = link::make_chunk(std::move(part), false);
        const auto write_start = std::chrono::steady_clock::now();
        if (!co_await attempt_->response_body.write(std::move(chunk)))
            co_return false;
        caller_time_ += std::chrono::steady_clock::now() - write_start;
        part = std::string();
    }
    link::body_chunk end = link::make_chunk(std::string(), true);
    co_return co_await attempt_->response_body.write(std::move(end));
}

} // namespace

upstream_client::upstream_client(asio::any_io_executor executor,
                                 config::endpoint upstream,
                                 std::string instance,
                                 const http_dialect& dialect)
    : pool_(std::make_shared<connection_pool>(std::move(executor),
                                              std::move(upstream))),
      instance_(std::move(instance)), dialect_(dialect)
{
}

upstream_client::~upstream_client()
{
    close();
}

void upstream_client::set_max_connections(std::size_t max_open,
                                          std::size_t warm_count)
{
    pool_->set_max_connections(max_open, warm_count);
}

std::size_t upstream_client::open_connections() const
{
    return pool_->open_count();
}

std::shared_ptr<upstream_call>
upstream_client::run(link::exchange_ptr attempt,
                     support::time_point deadline,
                     load_source get_load,
                     finished_handler on_finished,
                     demand_handler on_demand)
{
    auto running = std::make_shared<running_attempt>(
        pool_, std::move(attempt), deadline, std::move(get_load),
        std::move(on_finished), std::move(on_demand), instance_, dialect_);
    asio::co_spawn(
        pool_->executor(),
        [running]() -> asio::awaitable<void> { co_await running->run(); },
        asio::detached);
    return running;
}

namespace {

/// Sends one request and returns the load that its response states, or nullopt
/// if there is none in time.
asio::awaitable<std::optional<upstream_load>>
fetch_load(std::shared_ptr<connection_pool> pool,
           std::string path,
           support::duration timeout,
           std::string instance,
           const http_dialect& dialect)
{
    const support::time_point end = support::monotonic_clock::now() + timeout;
    const connection_ptr connection =
        co_await pool->take_connection(connection_purpose::load_queries, end,
                                       any_idle_time, [] { return true; });
    if (!connection)
        co_return std::nullopt;
    bhttp::request<bhttp::empty_body> request(bhttp::verb::get, path, 11);
    request.set(bhttp::field::host, to_string(pool->upstream()));
    const std::chrono::steady_clock::time_point stream_end(
        end.time_since_epoch());
    connection->stream.expires_at(stream_end);
    const auto [write_error, sent_bytes] = co_await bhttp::async_write(
        connection->stream, request, use_nothrow_awaitable);
    if (write_error)
        co_return std::nullopt;
    http::whole_response received;
    const auto limits = http::response_limits::until(stream_end);
    const boost::system::error_code read_error =
        co_await http::read_response(connection->stream, connection->buffer,
                                     max_load_body_bytes, limits, received);
    if (read_error)
        co_return std::nullopt;
    support::response_head head;
    head.status = received.message.status;
    for (http::field& field : received.message.fields)
        head.fields.push_back({std::move(field.name), std::move(field.value)});
    if (received.reusable)
        pool->give_back(connection);
    co_return load_of_instance(head, instance, dialect);
}

} // namespace

void upstream_client::query_load(
    const std::string& path,
    support::duration timeout,
    std::function<void(const std::optional<upstream_load>&)> on_load)
{
    asio::co_spawn(
        pool_->executor(),
        [pool = pool_, path, timeout, instance = instance_, &dialect = dialect_,
         on_load = std::move(on_load)]() -> asio::awaitable<void> {
            on_load(
                co_await fetch_load(pool, path, timeout, instance, dialect));
        },
        asio::detached);
}

void upstream_client::close()
{
    pool_->close();
}

} // namespace galenarudder::proxy
