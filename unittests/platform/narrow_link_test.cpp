// A store behind a narrow link: its answers take longer than a call may wait
// for a store that is silent.
#include "metadata_store.hpp"

#include "galenarudder/store/consul_store.hpp"
#include "galenarudder/support/base64.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <thread>
#include <type_traits>

namespace galenarudder::platform {

using boost::asio::ip::tcp;
using store::indexed_value;
using support::result;

namespace {

const config::endpoint store_endpoint{"127.9.2.2", 8309};
constexpr support::milliseconds silence_limit{1000};
/// The largest value of the platform, and a link of 10 Mbit/s of which calls
/// use a third.
constexpr std::size_t value_bytes = 1024 * 1024;
constexpr std::size_t part_bytes = 64 * 1024;
constexpr support::milliseconds part_interval{75};

/// Answers one call with an item of value_bytes, in parts.
class narrow_store
{
public:
    /// The store falls silent after \p parts parts.
    narrow_store(std::string body, std::size_t parts)
        : acceptor_(io_,
                    {boost::asio::ip::make_address(store_endpoint.address),
                     store_endpoint.port}),
          thread_([this, body = std::move(body), parts] { serve(body, parts); })
    {
    }
    ~narrow_store() { thread_.join(); }

private:
    void serve(const std::string& body, std::size_t parts)
    {
        tcp::socket caller = acceptor_.accept();
        boost::system::error_code failure;
        std::string request;
        boost::asio::read_until(caller, boost::asio::dynamic_buffer(request),
                                "\r\n\r\n", failure);
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(body.size()) + "\r\n\r\n" +
                                   body;
        for (std::size_t sent = 0; sent < answer.size() && !failure;
             sent += part_bytes) {
            if (parts-- == 0)
                break;
            boost::asio::write(
                caller,
                boost::asio::buffer(answer.data() + sent,
                                    std::min(part_bytes, answer.size() - sent)),
                failure);
            std::this_thread::sleep_for(part_interval);
        }
        // Returns once the caller closes its connection.
        caller.read_some(boost::asio::buffer(request), failure);
    }

    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Returns the answer to a read, which the kinds of stores encode differently.
std::string make_answer(bool is_consul)
{
    const std::string value =
        support::base64_encode(std::string(value_bytes, 'v'));
    if (is_consul)
        return R"([{"Key":"key","ModifyIndex":12,"Value":")" + value + R"("}])";
    return R"({"key":"key","rev":12,"currentRev":12,"value":")" + value +
           R"("})";
}

} // namespace

// Guards against a document that never arrives where its transfer takes longer
// than the store may be silent.
TEMPLATE_TEST_CASE("a long answer over a narrow link is read to its end",
                   "[platform]",
                   metadata_store,
                   store::consul_store)
{
    constexpr support::milliseconds no_watch{0};
    struct row
    {
        const char* name;
        /// How long a watch waits; the key is read if it is 0.
        support::milliseconds wait;
        std::size_t parts;
        bool arrives;
    };
    constexpr std::size_t all_parts = 100;
    const row rows[] = {
        {"a read", no_watch, all_parts, true},
        {"a watch of a new key", std::chrono::seconds(30), all_parts, true},
        {"a question for changes", support::milliseconds(1), all_parts, true},
        {"a read that ends midway", no_watch, 8, false},
        {"a read without an answer", no_watch, 0, false},
    };
    const std::string answer =
        make_answer(std::is_same_v<TestType, store::consul_store>);
    for (const row& test_case : rows) {
        INFO(test_case.name);
        const narrow_store platform(answer, test_case.parts);
        boost::asio::io_context io;
        TestType client(io.get_executor(), io.get_executor(), store_endpoint);
        std::optional<result<indexed_value>> outcome;
        const auto done = [&](result<indexed_value> reported) {
            outcome.emplace(std::move(reported));
        };
        const auto begin = support::monotonic_clock::now();
        if (test_case.wait == no_watch)
            client.get("key", store::read_freshness::newest, silence_limit,
                       done);
        else
            client.watch("key", {}, test_case.wait, done);
        io.run();
        REQUIRE(outcome);
        CHECK(outcome->has_value() == test_case.arrives);
        // A store that is silent is still noticed soon.
        if (!test_case.arrives) {
            CHECK(support::monotonic_clock::now() - begin < 2 * silence_limit);
        }
    }
}

} // namespace galenarudder::platform
