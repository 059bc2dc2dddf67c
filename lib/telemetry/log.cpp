// Lines are buffered and written when standard output accepts them.
#include "galenarudder/telemetry/log.hpp"

#include "galenarudder/support/token_bucket.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <ctime>
#include <mutex>
#include <optional>

namespace galenarudder::telemetry {

namespace {

/// Size of the token buckets, in seconds of the sustained rate.
constexpr double burst_s = 1;
/// Shares of the buckets that routine lines and failures must leave for lines
/// of later kinds.
constexpr double reserved_from_routine = 0.5;
constexpr double reserved_from_failures = 0.1;
/// Shortest time between two lines that state how many lines were dropped.
constexpr support::milliseconds dropped_report_interval{1000};
/// Size of the buffer from which it is written without waiting for flush_log.
constexpr std::size_t write_threshold_bytes = 4 * 1024;
/// Limit of the buffer; while the reader is too slow, further lines are
/// dropped.
constexpr std::size_t max_buffered_bytes = 256 * 1024;
/// A writable pipe accepts this much in one write without blocking.
constexpr std::size_t max_write_bytes = 4 * 1024;

std::string format_time(std::chrono::system_clock::time_point now)
{
    using namespace std::chrono;
    const auto ms = duration_cast<milliseconds>(now.time_since_epoch()).count();
    constexpr std::int64_t ms_per_s = 1000;
    const std::time_t seconds = ms / ms_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    const std::size_t size =
        std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(ms % ms_per_s);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(text, size) + "." + fraction + "Z";
}

void append_text(std::string& line, std::string_view text)
{
    // Text from callers need not be valid UTF-8.
    line += nlohmann::json(text).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

void append_name(std::string& line, std::string_view name)
{
    line += line.size() > 1 ? ",\"" : "\"";
    line += name;
    line += "\":";
}

void append_value(std::string& line, const log_field& field)
{
    append_name(line, field.name);
    std::visit(
        [&](const auto& value) {
            using type = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<type, std::string_view>)
                append_text(line, value);
            else if constexpr (std::is_same_v<type, bool>)
                line += value ? "true" : "false";
            else if constexpr (std::is_same_v<type, double>)
                line += nlohmann::json(value).dump();
            else
                line += std::to_string(value);
        },
        field.value);
}

/// Buffers and writes the lines of the log within its limits.
class log_writer
{
public:
    log_writer(std::string member, const log_limits& limits)
        : member_(std::move(member)),
          lines_budget_(limits.lines_per_s, limits.lines_per_s * burst_s),
          bytes_budget_(limits.bytes_per_s, limits.bytes_per_s * burst_s),
          lines_burst_(limits.lines_per_s * burst_s),
          bytes_burst_(limits.bytes_per_s * burst_s)
    {
    }

    void add(log_kind kind,
             std::string_view event,
             std::initializer_list<log_field> fields)
    {
        const support::time_point now = support::monotonic_clock::now();
        if (!has_budget(kind, now)) {
            ++counts_.dropped;
            ++dropped_since_report_;
            return;
        }
        if (dropped_since_report_ != 0 &&
            now - last_dropped_report_ >= dropped_report_interval) {
            last_dropped_report_ = now;
            const std::uint64_t count = std::exchange(dropped_since_report_, 0);
            append("log.left_out", {{"lines", count}}, now);
        }
        append(event, fields, now);
        if (buffer_.size() >= write_threshold_bytes)
            write_buffer();
    }

    void write_buffer();
    log_counts counts() const { return counts_; }

private:
    bool has_budget(log_kind kind, support::time_point now)
    {
        if (buffer_.size() >= max_buffered_bytes)
            return false;
        static constexpr double reserved_shares[] = {reserved_from_routine,
                                                     reserved_from_failures, 0};
        const double reserved = reserved_shares[static_cast<std::size_t>(kind)];
        // The line's size is not known yet; charging it may overdraw the
        // bucket.
        return lines_budget_.can_take(1 + reserved * lines_burst_, now) &&
               bytes_budget_.can_take(1 + reserved * bytes_burst_, now);
    }

    void append(std::string_view event,
                std::initializer_list<log_field> fields,
                support::time_point now)
    {
        const std::string line =
            format_line(format_time(std::chrono::system_clock::now()), member_,
                        event, fields);
        lines_budget_.charge(1, now);
        bytes_budget_.charge(static_cast<double>(line.size()), now);
        buffer_ += line;
        ++counts_.written;
    }

    std::string member_;
    support::token_bucket lines_budget_;
    support::token_bucket bytes_budget_;
    double lines_burst_;
    double bytes_burst_;
    std::string buffer_;
    std::uint64_t dropped_since_report_ = 0;
    support::time_point last_dropped_report_{};
    log_counts counts_;
};

/// Sets O_NONBLOCK if standard output is a pipe, whose writer would otherwise
/// wait for the reader.
void make_output_nonblocking()
{
    struct stat output = {};
    if (::fstat(STDOUT_FILENO, &output) != 0 || !S_ISFIFO(output.st_mode))
        return;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void log_writer::write_buffer()
{
    std::size_t written_bytes = 0;
    while (written_bytes < buffer_.size()) {
        const std::size_t size =
            std::min(buffer_.size() - written_bytes, max_write_bytes);
        const ssize_t written =
            ::write(STDOUT_FILENO, buffer_.data() + written_bytes, size);
        if (written <= 0)
            break;
        written_bytes += static_cast<std::size_t>(written);
    }
    buffer_.erase(0, written_bytes);
}

std::mutex writer_mutex;
std::optional<log_writer> writer;

} // namespace

void open_log(std::string member, const log_limits& limits)
{
    const std::lock_guard lock(writer_mutex);
    make_output_nonblocking();
    writer.emplace(std::move(member), limits);
}

void log_event(log_kind kind,
               std::string_view event,
               std::initializer_list<log_field> fields)
{
    const std::lock_guard lock(writer_mutex);
    if (writer)
        writer->add(kind, event, fields);
}

void log_error(std::string_view event, const support::error& failure)
{
    log_event(log_kind::state_change, event,
              {{"error", support::to_string(failure.kind)},
               {"message", failure.message},
               {"remedy", failure.remedy}});
}

void flush_log()
{
    const std::lock_guard lock(writer_mutex);
    if (writer)
        writer->write_buffer();
}

void flush_log_on_abort()
{
    std::signal(SIGABRT, [](int) {
        // The abort may have come while this thread held the mutex.
        const std::unique_lock lock(writer_mutex, std::try_to_lock);
        if (lock && writer)
            writer->write_buffer();
        std::signal(SIGABRT, SIG_DFL);
        std::raise(SIGABRT);
    });
}

log_counts get_log_counts()
{
    const std::lock_guard lock(writer_mutex);
    return writer ? writer->counts() : log_counts();
}

std::string format_line(std::string_view time,
                        std::string_view member,
                        std::string_view event,
                        std::initializer_list<log_field> fields)
{
    std::string line = "{";
    append_value(line, {"time", time});
    append_value(line, {"member", member});
    append_value(line, {"event", event});
    for (const log_field& field : fields)
        append_value(line, field);
    line += "}\n";
    return line;
}

} // namespace galenarudder::telemetry
