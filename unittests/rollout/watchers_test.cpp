// A few members of each failure domain watch the store. Whatever happens to
// them, a version is in force everywhere in time, and the store's calls depend
// on domains, changes and failures, not on the number of members.
#include "galenarudder/rollout/rollout.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <variant>

using namespace galenarudder;
using namespace std::chrono_literals;
using support::milliseconds;
using support::time_point;

namespace {

/// The shortest time that a deployment allows until a version is in force.
constexpr milliseconds in_force_bound{2000};
/// The shortest time after which members count as in touch with a store that
/// serves again.
constexpr milliseconds in_touch_after{3000};
/// The build of a document with 2,100 routes on a VM with a tenth of a core
/// (docs/design/rollout.md).
constexpr milliseconds long_build{600};
constexpr milliseconds step{50};
constexpr milliseconds tick_interval{100};
constexpr milliseconds call_time{10};
/// After this time a call to a store that does not answer fails.
constexpr milliseconds ask_timeout{1000};
constexpr milliseconds watch_timeout{31'000};
/// After this time a call to a member that does not answer fails.
constexpr milliseconds call_timeout{1000};
/// A call whose answer arrives slowly, but without a pause of call_timeout.
constexpr milliseconds long_call{4000};
/// How long a member gets no new calls before it stops.
constexpr milliseconds leave_notice{2200};
/// When membership knows of a drain, and of a member that died or hangs.
constexpr milliseconds drain_known{500};
constexpr milliseconds death_known{4000};

std::string document_text(std::uint64_t version)
{
    config::document content;
    content.version = version;
    content.change_id = "change-" + std::to_string(version);
    content.author = "ana";
    content.base = nlohmann::json::parse(R"({
      "format": "galenarudder-base-1", "services": [], "hosts": []})");
    return config::serialize(content);
}

enum class condition
{
    runs,
    hangs,
    gone
};

struct daemon
{
    std::unique_ptr<rollout::rollout> machine;
    std::string domain;
    condition state = condition::runs;
    /// What the other members believe.
    membership::member_state believed = membership::member_state::alive;
    bool turned_away = false;
    /// The store takes its calls and answers nothing.
    bool silenced = false;
    /// Calls to it take long_call.
    bool slow = false;
    time_point started_at{};
    time_point undisturbed_since{};
    std::uint64_t watch = 0;
    bool watch_open = false;
};

class fleet
{
public:
    fleet(std::size_t domains, std::size_t members_per_domain)
    {
        for (std::size_t domain = 0; domain < domains; ++domain) {
            for (std::size_t number = 0; number < members_per_domain; ++number)
                start("m" + std::to_string(domain) + "-" +
                          std::to_string(number),
                      "d" + std::to_string(domain));
        }
        write();
        run(6s);
    }

    void run(milliseconds span)
    {
        const time_point end = now_ + span;
        while (now_ < end) {
            now_ += step;
            while (!events_.empty() && events_.begin()->first <= now_) {
                const auto event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            for (auto& [id, member] : daemons_) {
                if (member.state != condition::runs ||
                    now_.time_since_epoch() % tick_interval != 0ms)
                    continue;
                // Membership exchanges messages all the time.
                member.machine->on_peer_message(now_);
                perform(id, member.machine->on_tick(now_));
            }
        }
    }

    /// Writes the next version to the store, and requires it in force in time.
    void write()
    {
        const std::uint64_t version = ++version_;
        const time_point written_at = now_;
        for (auto& [id, member] : daemons_) {
            if (!member.watch_open || member.turned_away)
                continue;
            // An answer that is lost ends the watch at the store.
            if (member.silenced || answers_are_lost_)
                member.watch_open = false;
            else
                answer_watch(id);
        }
        after(in_force_bound, [this, version, written_at] {
            for (auto& [id, member] : daemons_) {
                const bool in_touch = member.state == condition::runs &&
                                      member.undisturbed_since <= written_at;
                if (in_touch && member.machine->version() < version)
                    late_.insert(id + " lacks version " +
                                 std::to_string(version));
            }
        });
    }

    void kill(const std::string& id)
    {
        lose(id, condition::gone);
        after(5s, [this, id, domain = daemons_.at(id).domain] {
            start(id, domain);
        });
    }
    void hang(const std::string& id)
    {
        lose(id, condition::hangs);
        after(6s, [this, id] {
            daemon& member = daemons_.at(id);
            if (member.state != condition::hangs)
                return;
            member.state = condition::runs;
            member.undisturbed_since = now_;
            believe(id, membership::member_state::alive);
        });
    }
    void stop(const std::string& id)
    {
        if (daemons_.at(id).state != condition::runs)
            return;
        perform(id, daemons_.at(id).machine->on_stopping(now_));
        after(leave_notice + drain_known,
              [this, id] { believe(id, membership::member_state::draining); });
        after(leave_notice + call_time, [this, id] { kill(id); });
    }
    /// The store turns this member away from now on, or not any more.
    void turn_away(const std::string& id, bool turned_away)
    {
        daemon& member = daemons_.at(id);
        member.turned_away = turned_away;
        if (turned_away && member.watch_open)
            fail_watch(id);
    }
    /// The store answers nothing to this member from now on, or again. What it
    /// did not answer stays without an answer.
    void silence(const std::string& id, bool silenced)
    {
        daemon& member = daemons_.at(id);
        member.silenced = silenced;
        member.watch_open = false;
    }
    /// All answers of the store are lost, or none.
    void lose_answers(bool lost) { answers_are_lost_ = lost; }
    /// The store refuses all calls, or none.
    void refuse_calls(bool refused)
    {
        for (const std::string& id : members())
            turn_away(id, refused);
    }
    void set_build_time(milliseconds length) { build_time_ = length; }
    void slow_down(const std::string& id) { daemons_.at(id).slow = true; }
    /// The members of a domain reach only each other and the store.
    void cut_off(const std::string& domain) { cut_domain_ = domain; }
    void join_again() { cut_domain_.clear(); }

    std::vector<std::string> watchers_of(const std::string& domain) const
    {
        std::vector<std::string> found;
        for (const auto& [id, member] : daemons_) {
            if (member.domain == domain && member.state == condition::runs &&
                member.machine->is_watcher())
                found.push_back(id);
        }
        return found;
    }
    /// Returns the first \p count members of \p domain to watch the store.
    std::vector<std::string> first_members(const std::string& domain,
                                           std::size_t count) const
    {
        std::vector<std::pair<std::uint64_t, std::string>> order;
        for (const auto& [id, member] : daemons_) {
            if (member.domain == domain)
                order.emplace_back(XXH3_64bits(id.data(), id.size()), id);
        }
        std::sort(order.begin(), order.end());
        std::vector<std::string> first;
        for (std::size_t place = 0; place < count; ++place)
            first.push_back(order[place].second);
        return first;
    }
    std::size_t with_newest() const
    {
        return static_cast<std::size_t>(std::count_if(
            daemons_.begin(), daemons_.end(), [this](const auto& entry) {
                return entry.second.machine->version() == version_;
            }));
    }
    void forget_late() { late_.clear(); }
    std::vector<std::string> members() const
    {
        std::vector<std::string> ids;
        for (const auto& [id, member] : daemons_)
            ids.push_back(id);
        return ids;
    }
    const std::set<std::string>& late() const { return late_; }
    std::uint64_t store_calls() const { return store_calls_; }
    std::uint64_t store_asks() const { return store_asks_; }
    std::uint64_t statements() const { return statements_; }

private:
    void after(milliseconds delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }

    void start(const std::string& id, const std::string& domain)
    {
        daemon& member = daemons_[id];
        member = daemon();
        member.domain = domain;
        member.started_at = now_;
        // A process that starts reads the newest document.
        member.undisturbed_since = now_ + 1s;
        member.machine =
            std::make_unique<rollout::rollout>(id, domain, ++seed_);
        member.machine->on_directory_read(true);
        believe(id, membership::member_state::alive);
        for (const auto& [other_id, other] : daemons_)
            tell(id, other_id);
    }

    void lose(const std::string& id, condition lost)
    {
        daemon& member = daemons_.at(id);
        if (member.state != condition::runs)
            return;
        member.state = lost;
        member.watch_open = false;
        const time_point lost_at = now_;
        after(death_known, [this, id, lost_at] {
            const daemon& found = daemons_.at(id);
            const bool same =
                found.state != condition::runs && found.started_at <= lost_at;
            if (same)
                believe(id, membership::member_state::dead);
        });
    }

    bool connected(const std::string& left, const std::string& right) const
    {
        return cut_domain_.empty() ||
               (daemons_.at(left).domain == cut_domain_) ==
                   (daemons_.at(right).domain == cut_domain_);
    }

    /// Lets \p to hear what is known of \p about.
    void tell(const std::string& to, const std::string& about)
    {
        daemon& member = daemons_.at(to);
        if (to == about || member.state != condition::runs ||
            !connected(to, about))
            return;
        const daemon& subject = daemons_.at(about);
        membership::member_record record;
        record.id = about;
        record.domain = subject.domain;
        record.state = subject.believed;
        record.configuration_version = subject.machine->version();
        member.machine->on_member(record, now_);
        member.machine->on_peer_message(now_);
    }
    void believe(const std::string& id, membership::member_state state)
    {
        daemons_.at(id).believed = state;
        for (const auto& [other, member] : daemons_)
            tell(other, id);
    }

    void answer_watch(const std::string& id)
    {
        daemon& member = daemons_.at(id);
        member.watch_open = false;
        after(call_time, [this, id, watch = member.watch] {
            if (daemons_.at(id).state != condition::runs)
                return;
            perform(id, daemons_.at(id).machine->on_watch_answer(
                            watch, document_text(version_),
                            store::change_index{version_}, now_));
        });
    }
    void fail_watch(const std::string& id)
    {
        daemon& member = daemons_.at(id);
        member.watch_open = false;
        after(call_time, [this, id, watch = member.watch] {
            if (daemons_.at(id).state == condition::runs)
                perform(id,
                        daemons_.at(id).machine->on_watch_failed(watch, now_));
        });
    }

    /// No change ends this watch, even once the store answers again.
    void lose_watch(const std::string& id)
    {
        daemons_.at(id).watch_open = false;
        after(watch_timeout, [this, id, watch = daemons_.at(id).watch] {
            if (daemons_.at(id).state == condition::runs)
                perform(id,
                        daemons_.at(id).machine->on_watch_failed(watch, now_));
        });
    }

    void perform(const std::string& id,
                 const std::vector<rollout::action>& actions)
    {
        for (const rollout::action& action : actions)
            std::visit([&](const auto& request) { execute(id, request); },
                       action);
    }
    void execute(const std::string& id, const rollout::adopt&)
    {
        // Membership spreads the version as an epidemic over some hops.
        after(2 * step, [this, id] {
            for (const auto& [other, member] : daemons_)
                tell(other, id);
        });
    }
    void execute(const std::string&, const rollout::release_document&) {}
    void execute(const std::string&, const rollout::restore_store&) {}
    void execute(const std::string& id, const rollout::build_document& request)
    {
        const auto end = [this, id, request] {
            if (daemons_.at(id).state != condition::runs)
                return;
            perform(id, daemons_.at(id).machine->on_built(
                            request.build_number,
                            rollout::build(*request.input), now_));
        };
        if (build_time_ == 0ms)
            return end();
        after(build_time_, end);
    }
    void execute(const std::string& id, const rollout::read_store&)
    {
        ++store_calls_;
        after(call_time, [this, id] {
            daemon& member = daemons_.at(id);
            if (member.state != condition::runs)
                return;
            if (member.turned_away) {
                perform(id, member.machine->on_store_unavailable(now_));
                return;
            }
            perform(id, member.machine->on_store_answer(
                            document_text(version_),
                            store::change_index{version_}, now_));
        });
    }
    void execute(const std::string& id, const rollout::watch_store& request)
    {
        ++store_calls_;
        daemon& member = daemons_.at(id);
        member.watch = request.watch_number;
        member.watch_open = true;
        if (member.turned_away)
            fail_watch(id);
        else if (member.silenced || answers_are_lost_)
            lose_watch(id);
        else if (request.known_index != store::change_index{version_})
            answer_watch(id);
    }
    void execute(const std::string& id, const rollout::ask_store& request)
    {
        ++store_asks_;
        daemon& member = daemons_.at(id);
        const bool lost = member.silenced || answers_are_lost_;
        after(lost ? ask_timeout : call_time, [this, id, request, lost] {
            daemon& asking = daemons_.at(id);
            if (asking.state != condition::runs)
                return;
            const store::change_index index{version_};
            if (lost || asking.turned_away)
                perform(id, asking.machine->on_ask_failed(now_));
            else
                perform(id, asking.machine->on_store_asked(
                                index == request.known_index
                                    ? std::string()
                                    : document_text(version_),
                                index, now_));
        });
    }
    void execute(const std::string& id,
                 const rollout::send_confirmation& statement)
    {
        ++statements_;
        after(call_time, [this, id, statement] {
            daemon& observer = daemons_.at(statement.observer);
            if (observer.state == condition::runs &&
                connected(id, statement.observer))
                observer.machine->on_confirmation(statement.stated, now_);
        });
    }
    void execute(const std::string& id, const rollout::push_to_peer& request)
    {
        call(
            id, request.peer,
            [this, id, request] {
                perform(request.peer,
                        daemons_.at(request.peer)
                            .machine->on_transfer(request.encoded, id, now_));
            },
            [this, id, peer = request.peer] {
                perform(id,
                        daemons_.at(id).machine->on_push_failed(peer, now_));
            });
    }
    void execute(const std::string& id, const rollout::pull_from_peer& request)
    {
        call(
            id, request.peer,
            [this, id, request] {
                perform(id, daemons_.at(id).machine->on_pull_answer(
                                request.peer,
                                daemons_.at(request.peer)
                                    .machine->transfer_for(request.current_id),
                                now_));
            },
            [this, id, peer = request.peer] {
                perform(id,
                        daemons_.at(id).machine->on_pull_failed(peer, now_));
            });
    }
    void call(const std::string& from,
              const std::string& to,
              std::function<void()> done,
              std::function<void()> failed)
    {
        const bool refused = daemons_.at(to).state == condition::gone;
        const bool answers =
            daemons_.at(to).state == condition::runs && connected(from, to);
        const milliseconds answer_time =
            daemons_.at(to).slow ? long_call : call_time;
        after(answers || refused ? answer_time : call_timeout,
              [this, from, to, answers, done = std::move(done),
               failed = std::move(failed)] {
                  if (daemons_.at(from).state != condition::runs)
                      return;
                  const bool still_runs =
                      daemons_.at(to).state == condition::runs;
                  (answers && still_runs ? done : failed)();
              });
    }

    std::map<std::string, daemon> daemons_;
    std::multimap<time_point, std::function<void()>> events_;
    time_point now_{1s};
    std::uint64_t seed_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t store_calls_ = 0;
    std::uint64_t store_asks_ = 0;
    std::uint64_t statements_ = 0;
    bool answers_are_lost_ = false;
    milliseconds build_time_{0};
    std::string cut_domain_;
    std::set<std::string> late_;
};

using on_member = void (fleet::*)(const std::string& id);

} // namespace

TEST_CASE("a version reaches a domain whose watchers have just been lost",
          "[watchers]")
{
    struct row
    {
        const char* name;
        on_member lose;
        milliseconds written_after;
    };
    const row rows[] = {
        {"stopped, the version comes at once", &fleet::stop, 0ms},
        {"stopped, the version comes while they drain", &fleet::stop, 2000ms},
        {"stopped, the version comes as they go", &fleet::stop, 2250ms},
        {"stopped, the version comes after they went", &fleet::stop, 2400ms},
        {"killed, the version comes at once", &fleet::kill, 0ms},
        {"killed, the version comes later", &fleet::kill, 900ms},
        {"hanging, the version comes at once", &fleet::hang, 0ms},
        {"hanging, the version comes later", &fleet::hang, 1000ms},
    };
    // A domain that is cut off depends on its own watchers.
    for (const bool cut_off : {false, true}) {
        for (const row& test_case : rows) {
            INFO(test_case.name << (cut_off ? ", cut off" : ""));
            fleet members(3, 6);
            if (cut_off)
                members.cut_off("d1");
            const auto watchers = members.watchers_of("d1");
            REQUIRE(watchers.size() == rollout::rollout::watchers_per_domain);
            for (const std::string& id : watchers)
                (members.*test_case.lose)(id);
            members.run(test_case.written_after);
            members.write();
            members.run(in_force_bound + 100ms);
            CHECK(members.late() == std::set<std::string>());
        }
    }
}

TEST_CASE("members that the store turns away are replaced as watchers",
          "[watchers]")
{
    fleet members(2, 6);
    members.cut_off("d0");
    for (const std::string& id : members.watchers_of("d0"))
        members.turn_away(id, true);
    members.run(300ms);
    members.write();
    members.run(in_force_bound + 100ms);
    CHECK(members.late() == std::set<std::string>());
}

// Guards against a fleet that keeps an old version until the watches time out,
// since every member that watches the store gets no answer from it.
TEST_CASE("a version reaches a fleet whose watchers hear nothing of the store",
          "[watchers]")
{
    struct row
    {
        const char* name;
        std::size_t domains;
        std::size_t members;
        /// Members of each domain that the store does not answer.
        std::size_t silenced;
        milliseconds written_after;
        const char* cut_off;
    };
    const row rows[] = {
        {"watchers, at once", 3, 5, 2, 0ms, ""},
        {"watchers, later", 3, 5, 2, 1000ms, ""},
        {"watchers, long after", 3, 5, 2, 8000ms, ""},
        {"watchers, two domains", 2, 7, 2, 1000ms, ""},
        {"watchers and a standby", 3, 5, 3, 300ms, ""},
        {"watchers and a standby, later", 3, 5, 3, 3000ms, ""},
        {"watchers of a domain that is cut off", 2, 6, 2, 500ms, "d1"},
        {"one domain", 1, 6, 2, 700ms, ""},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        fleet members(test_case.domains, test_case.members);
        members.cut_off(test_case.cut_off);
        for (std::size_t domain = 0; domain < test_case.domains; ++domain) {
            const std::string name = "d" + std::to_string(domain);
            for (const std::string& id :
                 members.first_members(name, test_case.silenced))
                members.silence(id, true);
        }
        members.run(test_case.written_after);
        members.write();
        members.run(in_force_bound + 100ms);
        CHECK(members.late() == std::set<std::string>());
    }
}

// Guards against the same after a short silence of the store towards all, which
// took the answers to the watches with it.
TEST_CASE("answers that were lost are noticed after the store serves again",
          "[watchers]")
{
    for (const milliseconds silence : {50ms, 400ms, 1000ms, 4000ms}) {
        INFO(silence.count() << " ms");
        fleet members(3, 5);
        members.lose_answers(true);
        members.write();
        members.run(silence);
        members.lose_answers(false);
        members.forget_late();
        // The time in which members come to be in touch again.
        members.run(3s);
        CHECK(members.with_newest() == members.members().size());
    }
}

// Guards against a store that serves again and is asked by nobody for seconds,
// since all observers wait after calls in vain.
TEST_CASE("a version is in force in time after an outage of any length",
          "[watchers]")
{
    struct row
    {
        const char* name;
        std::size_t domains;
        void (fleet::*fail)(bool);
    };
    const row rows[] = {
        {"answers lost, one domain", 1, &fleet::lose_answers},
        {"answers lost", 3, &fleet::lose_answers},
        {"calls refused, one domain", 1, &fleet::refuse_calls},
        {"calls refused", 3, &fleet::refuse_calls},
    };
    for (const row& test_case : rows) {
        for (milliseconds outage = 2s; outage <= 8s; outage += step) {
            INFO(test_case.name << ", " << outage.count() << " ms");
            fleet members(test_case.domains, 5);
            members.set_build_time(long_build);
            (members.*test_case.fail)(true);
            members.run(outage);
            members.write();
            (members.*test_case.fail)(false);
            members.run(in_touch_after);
            CHECK(members.with_newest() == members.members().size());
        }
    }
}

// Guards against a member that waits for the end of one slow transfer while
// others could serve it.
TEST_CASE("a version reaches members that some peers serve slowly",
          "[watchers]")
{
    struct row
    {
        const char* name;
        std::vector<std::string> domains;
        std::size_t first_slow;
        std::size_t slow;
    };
    const row rows[] = {
        {"the watchers", {"d0", "d1", "d2"}, 0, 2},
        {"the standbys", {"d0", "d1", "d2"}, 2, 2},
        {"those behind", {"d0", "d1", "d2"}, 4, 2},
        {"a failure domain", {"d1"}, 0, 8},
    };
    for (const row& test_case : rows) {
        INFO(test_case.name);
        fleet members(3, 8);
        for (const std::string& domain : test_case.domains) {
            const auto order = members.first_members(
                domain, test_case.first_slow + test_case.slow);
            for (std::size_t place = test_case.first_slow; place < order.size();
                 ++place)
                members.slow_down(order[place]);
        }
        for (int version = 0; version < 40; ++version) {
            members.write();
            members.run(in_force_bound + 100ms);
        }
        CHECK(members.late() == std::set<std::string>());
    }
}

TEST_CASE("how often the store is asked depends on nothing but time",
          "[watchers]")
{
    for (const std::size_t domains : {1, 3, 8}) {
        for (const std::size_t members_per_domain : {4, 20}) {
            INFO(domains << " domains of " << members_per_domain);
            fleet members(domains, members_per_domain);
            const std::uint64_t begin = members.store_asks();
            const std::uint64_t stated = members.statements();
            members.run(10s);
            const std::uint64_t asks = members.store_asks() - begin;
            CHECK(members.statements() - stated <= 23 * asks);
            CHECK(asks >= 9);
            CHECK(asks <= 10);
        }
    }
}

TEST_CASE("the calls of the store do not depend on the number of members",
          "[watchers]")
{
    struct counts
    {
        std::uint64_t change = 0;
        std::uint64_t stop = 0;
    };
    const auto calls_of = [](std::size_t members_per_domain) {
        fleet members(3, members_per_domain);
        const std::uint64_t begin = members.store_calls();
        members.write();
        members.run(3s);
        const std::uint64_t changed = members.store_calls();
        for (const std::string& id : members.watchers_of("d0"))
            members.stop(id);
        members.run(20s);
        return counts{changed - begin, members.store_calls() - changed};
    };
    const counts small = calls_of(4);
    const counts large = calls_of(40);
    // Each watcher watches again after a change.
    CHECK(small.change == 3 * rollout::rollout::watchers_per_domain);
    CHECK(large.change == small.change);
    // Those that take over, and those that return, read and watch.
    CHECK(large.stop <= 10 * rollout::rollout::watchers_per_domain);
}

TEST_CASE("whatever is lost, members in touch have a version in time",
          "[watchers]")
{
    CHECK(rc::check("random losses", [] {
        const auto below = [](std::size_t bound) {
            return *rc::gen::inRange<std::size_t>(0, bound);
        };
        fleet members(3, 5);
        const std::vector<std::string> ids = members.members();
        constexpr on_member losses[] = {&fleet::kill, &fleet::hang,
                                        &fleet::stop};
        for (int round = 0; round < 4; ++round) {
            // At most half of a domain at a time.
            const std::string domain = "d" + std::to_string(below(3));
            for (std::size_t count = below(3); count > 0; --count) {
                const std::string& id = ids[below(ids.size())];
                (members.*losses[below(std::size(losses))])(id);
            }
            for (const std::string& id : members.watchers_of(domain)) {
                if (below(2) == 0)
                    (members.*losses[below(std::size(losses))])(id);
            }
            members.run(milliseconds(50 * below(60)));
            members.write();
            members.run(milliseconds(50 * below(30)));
            members.write();
            members.run(9s);
        }
        RC_LOG() << members.store_calls() << " store calls\n";
        for (const std::string& late : members.late())
            RC_LOG() << late << '\n';
        RC_ASSERT(members.late().empty());
    }));
}

TEST_CASE("a member that starts takes the document from a peer", "[watchers]")
{
    fleet members(2, 8);
    const std::uint64_t before = members.store_calls();
    members.kill(members.members().back());
    members.run(8s);
    members.write();
    members.run(in_force_bound + 100ms);
    CHECK(members.late() == std::set<std::string>());
    // The watchers watch again; the member that started may watch, too.
    CHECK(members.store_calls() - before <=
          2 * rollout::rollout::watchers_per_domain + 3);
}

TEST_CASE("an answer that may be old brings a document but decides nothing",
          "[watchers]")
{
    rollout::rollout starting("a", "d", 1);
    starting.on_directory_read(false);
    std::vector<store::read_freshness> reads;
    time_point now{1s};
    for (; now < time_point{4s}; now += tick_interval) {
        for (const rollout::action& action : starting.on_tick(now)) {
            if (const auto* read = std::get_if<rollout::read_store>(&action)) {
                reads.push_back(read->freshness);
                (void)starting.on_stale_answer("", {}, now);
            }
        }
    }
    CHECK(reads.size() >= 3);
    CHECK(std::count(reads.begin(), reads.end(),
                     store::read_freshness::may_be_stale) ==
          static_cast<std::ptrdiff_t>(reads.size()));
    for (const rollout::action& action :
         starting.on_stale_answer(document_text(5), {9}, now)) {
        const auto* request = std::get_if<rollout::build_document>(&action);
        REQUIRE(request != nullptr);
        (void)starting.on_built(request->build_number,
                                rollout::build(*request->input), now);
    }
    CHECK(starting.version() == 5);
    // An older answer changes nothing, in the store neither.
    for (const rollout::action& action :
         starting.on_stale_answer(document_text(4), {8}, now)) {
        const auto* request = std::get_if<rollout::build_document>(&action);
        REQUIRE(request != nullptr);
        CHECK(starting
                  .on_built(request->build_number,
                            rollout::build(*request->input), now)
                  .empty());
    }
    CHECK(starting.version() == 5);
    CHECK(starting.counters().store_restores == 0);
}

TEST_CASE("in a running fleet the first read is the newest", "[watchers]")
{
    rollout::rollout starting("a", "d", 1);
    starting.on_directory_read(true);
    for (time_point now{1s}; now < time_point{2s}; now += tick_interval) {
        for (const rollout::action& action : starting.on_tick(now)) {
            if (const auto* read = std::get_if<rollout::read_store>(&action))
                CHECK(read->freshness == store::read_freshness::newest);
        }
    }
    CHECK(starting.counters().store_reads == 1);
}
