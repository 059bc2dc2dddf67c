// Lines wait in a buffer that is written when standard output has room.
#include "galenarudder/telemetry/log.hpp"

#include "galenarudder/support/rate_budget.hpp"

#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <ctime>
#include <mutex>
#include <optional>

namespace galenarudder::telemetry {

namespace {

/// A second's worth of the budget may be used at once.
constexpr double burst_s = 1;
/// Shares of the budget that are kept for lines of the later kinds.
constexpr double kept_from_routine = 0.5;
constexpr double kept_from_failures = 0.1;
/// How often at most a line counts what was left out.
constexpr support::milliseconds left_out_interval{1000};
/// Written once so much waits, and otherwise when the log is flushed.
constexpr std::size_t write_bytes = 4 * 1024;
/// More does not wait for a reader that is too slow.
constexpr std::size_t max_waiting_bytes = 256 * 1024;
/// A pipe takes so much at once without blocking when it is writable.
constexpr std::size_t atomic_write_bytes = 4 * 1024;

std::string time_text(std::chrono::system_clock::time_point now)
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
    // A caller's own bytes need not be UTF-8.
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

class log_writer
{
public:
    log_writer(std::string member, const log_limits& limits)
        : member_(std::move(member)),
          lines_(limits.lines_per_s, limits.lines_per_s * burst_s),
          bytes_(limits.bytes_per_s, limits.bytes_per_s * burst_s),
          most_lines_(limits.lines_per_s * burst_s),
          most_bytes_(limits.bytes_per_s * burst_s)
    {
    }

    void add(log_kind kind,
             std::string_view event,
             std::initializer_list<log_field> fields)
    {
        const support::time_point now = support::monotonic_clock::now();
        if (!admit(kind, now)) {
            ++counts_.left_out;
            ++left_out_;
            return;
        }
        if (left_out_ != 0 && now - told_left_out_ >= left_out_interval) {
            told_left_out_ = now;
            const std::uint64_t count = std::exchange(left_out_, 0);
            append("log.left_out", {{"lines", count}}, now);
        }
        append(event, fields, now);
        if (waiting_.size() >= write_bytes)
            write_out();
    }

    void write_out();
    log_counts counts() const { return counts_; }

private:
    bool admit(log_kind kind, support::time_point now)
    {
        if (waiting_.size() >= max_waiting_bytes)
            return false;
        static constexpr double kept[] = {kept_from_routine, kept_from_failures,
                                          0};
        const double reserve = kept[static_cast<std::size_t>(kind)];
        return lines_.holds(1 + reserve * most_lines_, now) &&
               bytes_.holds(1 + reserve * most_bytes_, now);
    }

    void append(std::string_view event,
                std::initializer_list<log_field> fields,
                support::time_point now)
    {
        const std::string line =
            format_line(time_text(std::chrono::system_clock::now()), member_,
                        event, fields);
        lines_.take(1, now);
        bytes_.take(static_cast<double>(line.size()), now);
        waiting_ += line;
        ++counts_.written;
    }

    std::string member_;
    support::rate_budget lines_;
    support::rate_budget bytes_;
    double most_lines_;
    double most_bytes_;
    std::string waiting_;
    std::uint64_t left_out_ = 0;
    support::time_point told_left_out_{};
    log_counts counts_;
};

/// A pipe makes a writer wait for its reader unless it is told not to.
void make_output_nonblocking()
{
    struct stat output = {};
    if (::fstat(STDOUT_FILENO, &output) != 0 || !S_ISFIFO(output.st_mode))
        return;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void log_writer::write_out()
{
    std::size_t done = 0;
    while (done < waiting_.size()) {
        const std::size_t size =
            std::min(waiting_.size() - done, atomic_write_bytes);
        const ssize_t written =
            ::write(STDOUT_FILENO, waiting_.data() + done, size);
        if (written <= 0)
            break;
        done += static_cast<std::size_t>(written);
    }
    waiting_.erase(0, done);
}

std::mutex guard;
std::optional<log_writer> writer;

} // namespace

void open_log(std::string member, const log_limits& limits)
{
    const std::lock_guard lock(guard);
    make_output_nonblocking();
    writer.emplace(std::move(member), limits);
}

void log_event(log_kind kind,
               std::string_view event,
               std::initializer_list<log_field> fields)
{
    const std::lock_guard lock(guard);
    if (writer)
        writer->add(kind, event, fields);
}

void log_error(std::string_view event, const support::error& failure)
{
    log_event(log_kind::belief, event,
              {{"error", support::to_string(failure.kind)},
               {"message", failure.message},
               {"remedy", failure.remedy}});
}

void flush_log()
{
    const std::lock_guard lock(guard);
    if (writer)
        writer->write_out();
}

log_counts counts_of_log()
{
    const std::lock_guard lock(guard);
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
