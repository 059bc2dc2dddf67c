// Each setting has one row in a table.
#include "galenarudder/daemon/settings_file.hpp"

#include <utility>

namespace galenarudder::daemon {

using config::daemon_settings;

namespace {

struct setting
{
    std::string_view name;
    bool (*differs)(const daemon_settings&, const daemon_settings&);
    /// Null if a change needs a restart.
    void (*assign)(daemon_settings& to, const daemon_settings& from);
};

template <auto Member>
bool differs(const daemon_settings& left, const daemon_settings& right)
{
    return left.*Member != right.*Member;
}

template <auto Member>
void assign(daemon_settings& to, const daemon_settings& from)
{
    to.*Member = from.*Member;
}

template <auto Member>
constexpr setting reloaded(std::string_view name)
{
    return {name, &differs<Member>, &assign<Member>};
}

template <auto Member>
constexpr setting fixed(std::string_view name)
{
    return {name, &differs<Member>, nullptr};
}

using s = daemon_settings;

constexpr setting settings_table[] = {
    reloaded<&s::service>("service"),
    reloaded<&s::upstream>("upstream"),
    reloaded<&s::heartbeat>("heartbeat"),
    reloaded<&s::leave_notice>("leave_notice"),
    reloaded<&s::stop_timeout>("stop_timeout"),
    fixed<&s::member>("member"),
    fixed<&s::domain>("domain"),
    fixed<&s::callers>("callers"),
    fixed<&s::announcements>("announcements"),
    fixed<&s::link>("link"),
    fixed<&s::gossip>("gossip"),
    fixed<&s::operators>("operators"),
    fixed<&s::store>("store"),
    fixed<&s::introducers>("introducers"),
    fixed<&s::keys>("keys"),
    fixed<&s::threads>("threads"),
    fixed<&s::readiness>("readiness"),
    fixed<&s::join_settling>("join_settling"),
    fixed<&s::store_watchers>("store_watchers"),
    fixed<&s::saved_extra_attempts>("saved_extra_attempts"),
    fixed<&s::region>("region"),
    fixed<&s::domain_regions>("domain_regions"),
    fixed<&s::domain_crossing_calls_per_mb>("domain_crossing_calls_per_mb"),
    fixed<&s::region_crossing_calls_per_mb>("region_crossing_calls_per_mb"),
    fixed<&s::organisation_window>("organisation_window"),
    fixed<&s::organisation_overrun_share>("organisation_overrun_share"),
    fixed<&s::organisation_overrun_calls>("organisation_overrun_calls"),
    fixed<&s::empty_domains>("empty_domains"),
};

settled_content::content content_of(const support::result<std::string>& text)
{
    if (!text)
        return std::nullopt;
    return text.value();
}

} // namespace

bool settled_content::observe(const content& reading)
{
    if (reading == known_) {
        unsettled_.reset();
        return false;
    }
    if (!unsettled_ || *unsettled_ != reading) {
        unsettled_ = reading;
        return false;
    }
    accept(reading);
    return true;
}

void settled_content::accept(content reading)
{
    known_ = std::move(reading);
    unsettled_.reset();
}

settings_file::settings_file(std::string path) : path_(std::move(path)) {}

support::result<daemon_settings>
settings_file::parse(const support::result<std::string>& text) const
{
    if (!text)
        return text.error();
    return config::parse_settings(text.value(), path_);
}

std::optional<support::result<daemon_settings>>
settings_file::poll(support::time_point now)
{
    if (path_.empty() || now < next_reading_)
        return std::nullopt;
    next_reading_ = now + reading_interval;
    const auto text = config::read_file(path_);
    if (!content_.observe(content_of(text)))
        return std::nullopt;
    return parse(text);
}

std::optional<support::result<daemon_settings>> settings_file::read()
{
    if (path_.empty())
        return std::nullopt;
    const auto text = config::read_file(path_);
    content_.accept(content_of(text));
    return parse(text);
}

settings_change apply_settings(daemon_settings& in_force,
                               const daemon_settings& wanted)
{
    settings_change change;
    for (const setting& row : settings_table) {
        if (!row.differs(in_force, wanted))
            continue;
        if (row.assign == nullptr) {
            change.pending.push_back(row.name);
            continue;
        }
        row.assign(in_force, wanted);
        change.applied.push_back(row.name);
    }
    return change;
}

std::string join_names(std::span<const std::string_view> names)
{
    std::string joined;
    for (const std::string_view name : names) {
        if (!joined.empty())
            joined += ',';
        joined += name;
    }
    return joined;
}

} // namespace galenarudder::daemon
