// One coroutine for each attempt; a second one sends the request's body so
// that an early answer is seen.
#include "galenarudder/proxy/upstream_client.hpp"

#include "connection_pool.hpp"

#include "galenarudder/link/message.hpp"
#include "galenarudder/proxy/http_fields.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>

namespace galenarudder::proxy {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using support::refusal;
using support::refusal_kind;
using support::run_outcome;

namespace {

constexpr auto awaiting = asio::as_tuple(asio::use_awaitable);
/// An upstream that has not begun its answer this long after the deadline is
/// given up: it stops work at the deadline and its answer would be on its way.
constexpr auto answer_grace = std::chrono::milliseconds(250);
/// An upstream that sends nothing between two parts of a body is given up.
constexpr auto silence_timeout = std::chrono::seconds(60);
/// Answers up to this size are read whole before any of them is passed on, so
/// that one that breaks off can still be replaced.
constexpr std::size_t whole_answer_bytes = 64 * 1024;
/// Answers to other calls that are passed over on one connection.
constexpr unsigned max_foreign_answers = 4;
/// Bodies of refusals up to this size are read to keep the connection.
constexpr std::size_t max_skipped_body_bytes = 64 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_multiple_choices = 300;
constexpr support::milliseconds shed_retry_after{1000};

/// A call that may repeat takes any connection that should still be open.
constexpr support::duration longest_idle = support::duration::max();
/// A call that must not repeat is lost when its connection closes under it.
constexpr support::duration longest_idle_unrepeatable = std::chrono::seconds(1);
/// Share of the stated idle time for which a connection is used again; the
/// rest covers the way of the request.
constexpr double kept_share = 0.8;

using answer_parser = bhttp::response_parser<bhttp::buffer_body>;

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

/// How long the upstream keeps the connection idle; 0 when it does not tell.
support::duration idle_time_of(const answer_parser& parser)
{
    const auto stated = parser.get()[bhttp::field::keep_alive];
    const std::size_t at = stated.find("timeout=");
    if (at == beast::string_view::npos)
        return support::duration(0);
    const std::string digits(stated.substr(at + std::strlen("timeout=")));
    const double seconds = std::strtod(digits.c_str(), nullptr);
    constexpr double ms_per_s = 1000;
    return support::from_ms(kept_share * ms_per_s * seconds);
}

support::answer_head convert(const answer_parser& parser)
{
    const auto& received = parser.get();
    support::answer_head head;
    head.status = received.result_int();
    head.reason = std::string(received.reason());
    for (const auto& field : received) {
        const std::string name(field.name_string());
        if (!is_hop_by_hop(name))
            head.fields.push_back({name, std::string(field.value())});
    }
    if (parser.content_length())
        head.content_length = *parser.content_length();
    else if (!parser.chunked() && !parser.need_eof())
        head.content_length = 0;
    return head;
}

refusal canceled(run_outcome outcome)
{
    return {refusal_kind::canceled, outcome, true, support::milliseconds(0),
            "the entry gave the call up"};
}

refusal late()
{
    return {refusal_kind::deadline_exceeded, run_outcome::not_run, false,
            support::milliseconds(0),
            "the deadline passed before the call was sent"};
}

refusal shed_by_upstream()
{
    return {refusal_kind::upstream_shed, run_outcome::not_run, false,
            shed_retry_after, "the upstream shed the call"};
}

/// Nothing was run; another upstream takes the call.
refusal not_there(std::string detail)
{
    return {refusal_kind::no_upstream, run_outcome::not_run, false,
            shed_retry_after, std::move(detail)};
}

refusal failure(run_outcome outcome, std::string detail)
{
    return {refusal_kind::upstream_failed, outcome, false,
            support::milliseconds(0), std::move(detail)};
}

} // namespace

namespace {

/// The attempt while it runs; owned by its coroutines.
class running_call final : public upstream_call,
                           public std::enable_shared_from_this<running_call>
{
public:
    running_call(std::shared_ptr<connection_pool> pool,
                 link::exchange_ptr attempt,
                 support::time_point deadline,
                 upstream_client::load_source load,
                 upstream_client::finished done,
                 std::string instance,
                 const http_dialect& dialect)
        : pool_(std::move(pool)), attempt_(std::move(attempt)),
          deadline_(deadline), load_(std::move(load)), done_(std::move(done)),
          instance_(std::move(instance)), dialect_(dialect)
    {
    }

    void abort() override
    {
        aborted_ = true;
        if (connection_)
            connection_->stream.cancel();
    }

    asio::awaitable<void> run();

private:
    std::optional<refusal> reason_not_to_start() const;
    asio::awaitable<upstream_result> exchange_messages();
    asio::awaitable<bool> read_final_head();
    asio::awaitable<bool> read_own_head(support::answer_head& head);
    bool is_own(const support::answer_head& head) const;
    std::optional<refusal>
    reason_not_to_pass_on(const support::answer_head& head) const;
    asio::awaitable<bool> read_whole(std::string& body);
    asio::awaitable<upstream_result> pass_on(support::answer_head head);
    bool may_reuse() const;
    asio::awaitable<void> skip_body();
    refusal no_answer(const boost::system::error_code& failed) const;
    asio::awaitable<void> send_request();
    asio::awaitable<bool> forward_body();
    void deliver_head(support::answer_head head)
    {
        attempt_->deliver(link::answered{std::move(head), load_()});
    }
    upstream_result refuse(refusal why, upstream_result how)
    {
        attempt_->deliver(link::refused{std::move(why), load_()});
        return how;
    }

    std::shared_ptr<connection_pool> pool_;
    link::exchange_ptr attempt_;
    support::time_point deadline_;
    upstream_client::load_source load_;
    upstream_client::finished done_;
    std::string instance_;
    const http_dialect& dialect_;
    std::optional<upstream_load> stated_;
    connection_ptr connection_;
    /// The answer that is read; made anew after each interim answer.
    std::optional<answer_parser> parser_;
    boost::system::error_code read_failure_;
    bool aborted_ = false;
    bool request_sent_ = false;
    bool bytes_sent_ = false;
    bool reusable_ = false;
};

asio::awaitable<void> running_call::run()
{
    const auto self = shared_from_this();
    const support::time_point begun = support::monotonic_clock::now();
    connection_ = co_await pool_->take_connection(
        deadline_,
        attempt_->head.repeatable ? longest_idle : longest_idle_unrepeatable);
    upstream_result how = upstream_result::failed;
    std::optional<refusal> why = reason_not_to_start();
    if (why) {
        if (connection_)
            pool_->give_back(connection_);
        how =
            refuse(std::move(*why), connection_ ? upstream_result::not_sent
                                                : upstream_result::unreachable);
    } else {
        how = co_await exchange_messages();
        if (reusable_ && request_sent_ && !aborted_)
            pool_->give_back(connection_);
    }
    attempt_->request.cut();
    connection_.reset();
    done_(how, support::monotonic_clock::now() - begun, stated_);
}

/// The last look before the first byte: a process that was paused since the
/// gate started the call must not send it after its deadline.
std::optional<refusal> running_call::reason_not_to_start() const
{
    if (aborted_)
        return canceled(run_outcome::not_run);
    if (support::monotonic_clock::now() >= deadline_)
        return late();
    if (!connection_)
        return not_there("cannot connect to the upstream");
    return std::nullopt;
}

asio::awaitable<void> running_call::send_request()
{
    const auto self = shared_from_this();
    const connection_ptr used = connection_;
    auto request = build_request(attempt_->head, to_string(pool_->upstream()),
                                 deadline_ - support::monotonic_clock::now(),
                                 instance_, dialect_);
    bhttp::request_serializer<bhttp::buffer_body> serializer{request};
    bytes_sent_ = true;
    const auto [head_failure, head_size] =
        co_await bhttp::async_write_header(used->stream, serializer, awaiting);
    if (head_failure)
        co_return;
    bool more = request.body().more;
    while (more) {
        std::optional<link::body_chunk> chunk =
            co_await attempt_->request.read();
        if (!chunk) {
            // The caller's body broke off: the request cannot be completed.
            used->stream.cancel();
            co_return;
        }
        more = !chunk->last;
        request.body().data =
            chunk->data.empty() ? nullptr : chunk->data.data();
        request.body().size = chunk->data.size();
        request.body().more = more;
        const auto [failed, size] =
            co_await bhttp::async_write(used->stream, serializer, awaiting);
        if (failed && failed != bhttp::error::need_buffer)
            co_return;
    }
    request_sent_ = true;
}

asio::awaitable<upstream_result> running_call::exchange_messages()
{
    asio::co_spawn(
        pool_->executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> {
            co_await self->send_request();
        },
        asio::detached);
    support::answer_head head;
    if (!co_await read_own_head(head))
        co_return refuse(no_answer(read_failure_), upstream_result::failed);
    connection_->kept_for = idle_time_of(*parser_);
    stated_ = dialect_.read_load(head);
    if (dialect_.states_not_run(head)) {
        co_await skip_body();
        if (head.status == status_misdirected) {
            co_return refuse(not_there("another upstream has the address"),
                             upstream_result::replaced);
        }
        co_return refuse(shed_by_upstream(), upstream_result::shed);
    }
    std::optional<refusal> why = reason_not_to_pass_on(head);
    if (why)
        co_return refuse(std::move(*why), upstream_result::failed);
    co_return co_await pass_on(std::move(head));
}

/// Reads answers until one that is to this call: an upstream may answer an
/// earlier call twice.
asio::awaitable<bool> running_call::read_own_head(support::answer_head& head)
{
    for (unsigned foreign = 0; foreign <= max_foreign_answers; ++foreign) {
        if (!co_await read_final_head())
            co_return false;
        head = convert(*parser_);
        if (is_own(head))
            co_return true;
        co_await skip_body();
        if (!reusable_)
            break;
        reusable_ = false;
    }
    read_failure_ = bhttp::error::bad_field;
    co_return false;
}

bool running_call::is_own(const support::answer_head& head) const
{
    if (dialect_.call_id.empty())
        return true;
    const std::string_view answered = find_field(head.fields, dialect_.call_id);
    if (answered.empty())
        return dialect_.states_not_run(head);
    return answered == find_field(attempt_->head.fields, dialect_.call_id);
}

/// An answer that no upstream vouches for, or that would tell the caller that
/// a request did not run although it may have.
std::optional<refusal>
running_call::reason_not_to_pass_on(const support::answer_head& head) const
{
    if (dialect_.promises_not_run(head.status)) {
        return failure(run_outcome::unknown,
                       "the upstream answered status " +
                           std::to_string(head.status) +
                           " without a statement that it ran nothing");
    }
    const bool success =
        head.status >= status_ok && head.status < status_multiple_choices;
    if (!success || dialect_.signature.empty())
        return std::nullopt;
    if (find_field(head.fields, dialect_.signature).empty()) {
        return failure(run_outcome::unknown,
                       "the upstream's answer has no signature");
    }
    if (!find_field(head.fields, "Content-Encoding").empty()) {
        return failure(run_outcome::unknown,
                       "the upstream's answer has an encoding that was not "
                       "asked for");
    }
    return std::nullopt;
}

/// Reads the body up to the size that is kept whole; false when it broke off.
asio::awaitable<bool> running_call::read_whole(std::string& body)
{
    while (!parser_->is_done() && body.size() < whole_answer_bytes) {
        const std::size_t before = body.size();
        body.resize(before + link::max_body_part_bytes);
        parser_->get().body().data = body.data() + before;
        parser_->get().body().size = link::max_body_part_bytes;
        const auto [failed, size] = co_await bhttp::async_read_some(
            connection_->stream, connection_->buffer, *parser_, awaiting);
        body.resize(body.size() - parser_->get().body().size);
        if (failed && failed != bhttp::error::need_buffer) {
            read_failure_ = failed;
            co_return false;
        }
    }
    co_return true;
}

asio::awaitable<upstream_result>
running_call::pass_on(support::answer_head head)
{
    // Without a length an answer may be a stream that is read as it comes,
    // unless callers take only answers that are vouched for as a whole.
    const bool sized = head.content_length.has_value();
    std::string body;
    if ((sized || !dialect_.signature.empty()) && !co_await read_whole(body))
        co_return refuse(no_answer(read_failure_), upstream_result::failed);
    const bool complete =
        parser_->is_done() && (sized || !dialect_.signature.empty());
    const bool bare = attempt_->head.method == "HEAD";
    if (complete && !bare)
        head.content_length = body.size();
    std::string_view left = body;
    while (!left.empty()) {
        const std::string_view part = left.substr(0, link::max_body_part_bytes);
        left.remove_prefix(part.size());
        attempt_->answer.try_write(
            link::make_chunk(std::string(part), complete && left.empty()));
    }
    if (complete && body.empty())
        attempt_->answer.try_write(link::make_chunk(std::string(), true));
    deliver_head(std::move(head));
    const bool whole = complete || co_await forward_body();
    reusable_ = whole && may_reuse();
    co_return whole ? upstream_result::answered : upstream_result::failed;
}

/// Bytes after an answer belong to no call.
bool running_call::may_reuse() const
{
    return parser_->get().keep_alive() && !parser_->need_eof() &&
           connection_->buffer.size() == 0;
}

refusal running_call::no_answer(const boost::system::error_code& failed) const
{
    const run_outcome outcome =
        bytes_sent_ ? run_outcome::unknown : run_outcome::not_run;
    if (aborted_)
        return canceled(outcome);
    return failure(outcome, "the upstream gave no answer: " + failed.message());
}

/// Reads heads until one that is no interim answer (1xx).
asio::awaitable<bool> running_call::read_final_head()
{
    do {
        parser_.emplace();
        parser_->body_limit(boost::none);
        if (attempt_->head.method == "HEAD")
            parser_->skip(true);
        connection_->stream.expires_at(std::chrono::steady_clock::time_point(
                                           deadline_.time_since_epoch()) +
                                       answer_grace);
        const auto [failed, size] = co_await bhttp::async_read_header(
            connection_->stream, connection_->buffer, *parser_, awaiting);
        read_failure_ = failed;
        if (failed)
            co_return false;
    } while (parser_->get().result_int() < status_ok);
    co_return true;
}

/// Reads the small body of an answer that is not forwarded, so that the
/// connection can be kept.
asio::awaitable<void> running_call::skip_body()
{
    std::array<char, 4096> scratch{};
    std::size_t skipped = 0;
    while (!parser_->is_done() && skipped < max_skipped_body_bytes) {
        parser_->get().body().data = scratch.data();
        parser_->get().body().size = scratch.size();
        const auto [failed, size] = co_await bhttp::async_read_some(
            connection_->stream, connection_->buffer, *parser_, awaiting);
        if (failed && failed != bhttp::error::need_buffer)
            co_return;
        skipped += size;
    }
    reusable_ = parser_->is_done() && parser_->get().keep_alive() &&
                !parser_->need_eof();
}

asio::awaitable<bool> running_call::forward_body()
{
    std::string part;
    while (!parser_->is_done()) {
        part.resize(link::max_body_part_bytes);
        parser_->get().body().data = part.data();
        parser_->get().body().size = part.size();
        connection_->stream.expires_after(silence_timeout);
        const auto [failed, size] = co_await bhttp::async_read_some(
            connection_->stream, connection_->buffer, *parser_, awaiting);
        if (failed && failed != bhttp::error::need_buffer) {
            attempt_->answer.cut();
            co_return false;
        }
        part.resize(part.size() - parser_->get().body().size);
        if (part.empty())
            continue;
        link::body_chunk chunk = link::make_chunk(std::move(part), false);
        if (!co_await attempt_->answer.write(std::move(chunk)))
            co_return false;
        part = std::string();
    }
    link::body_chunk end = link::make_chunk(std::string(), true);
    co_return co_await attempt_->answer.write(std::move(end));
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

void upstream_client::set_max_connections(std::size_t count, std::size_t warm)
{
    pool_->set_max_connections(count, warm);
}

std::size_t upstream_client::open_connections() const
{
    return pool_->open();
}

std::shared_ptr<upstream_call>
upstream_client::run(link::exchange_ptr attempt,
                     support::time_point deadline,
                     load_source load,
                     finished done)
{
    auto call = std::make_shared<running_call>(
        pool_, std::move(attempt), deadline, std::move(load), std::move(done),
        instance_, dialect_);
    asio::co_spawn(
        pool_->executor(),
        [call]() -> asio::awaitable<void> { co_await call->run(); },
        asio::detached);
    return call;
}

namespace {

/// One small request and its whole answer; nothing when there is none in time.
asio::awaitable<std::optional<upstream_load>>
ask_load(std::shared_ptr<connection_pool> pool,
         std::string path,
         support::duration timeout,
         const http_dialect& dialect)
{
    const support::time_point end = support::monotonic_clock::now() + timeout;
    const connection_ptr used =
        co_await pool->take_connection(end, longest_idle_unrepeatable);
    if (!used)
        co_return std::nullopt;
    bhttp::request<bhttp::empty_body> request(bhttp::verb::get, path, 11);
    request.set(bhttp::field::host, to_string(pool->upstream()));
    used->stream.expires_at(
        std::chrono::steady_clock::time_point(end.time_since_epoch()));
    const auto [unsent, sent] =
        co_await bhttp::async_write(used->stream, request, awaiting);
    if (unsent)
        co_return std::nullopt;
    bhttp::response_parser<bhttp::string_body> parser;
    const auto [unread, size] = co_await bhttp::async_read(
        used->stream, used->buffer, parser, awaiting);
    if (unread)
        co_return std::nullopt;
    support::answer_head head;
    head.status = parser.get().result_int();
    for (const auto& field : parser.get()) {
        head.fields.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    if (parser.get().keep_alive() && !parser.get().need_eof() &&
        used->buffer.size() == 0)
        pool->give_back(used);
    co_return dialect.read_load(head);
}

} // namespace

void upstream_client::measure(
    const std::string& path,
    support::duration timeout,
    std::function<void(const std::optional<upstream_load>&)> told)
{
    asio::co_spawn(
        pool_->executor(),
        [pool = pool_, path, timeout, &dialect = dialect_,
         told = std::move(told)]() -> asio::awaitable<void> {
            told(co_await ask_load(pool, path, timeout, dialect));
        },
        asio::detached);
}

void upstream_client::close()
{
    pool_->close();
}

} // namespace galenarudder::proxy
