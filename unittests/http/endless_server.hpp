/// \file
/// A server on loopback whose responses do not end, and the memory that reading
/// them takes.
#pragma once

#include "galenarudder/config/settings.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace galenarudder::tests {

/// Bytes that a server sends in response to each request.
struct endless_bytes
{
    /// Sent once.
    std::string start;
    /// Sent again and again until the client closes the connection.
    std::string repeated;
    /// Time between two of the repeated parts.
    std::chrono::milliseconds pause{0};
};

/// Returns \p part so many times that it fills a large write.
inline std::string fill(std::string_view part)
{
    constexpr std::size_t write_bytes = 64 * 1024;
    std::string filled;
    while (filled.size() < write_bytes)
        filled += part;
    return filled;
}

/// Serves each connection on a thread of its own, so that its speed does not
/// depend on the client's.
class endless_server
{
public:
    explicit endless_server(endless_bytes response)
        : response_(std::move(response)),
          listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        address_.sin_family = AF_INET;
        address_.sin_addr.s_addr = inet_addr(address_text);
        auto* const address = reinterpret_cast<sockaddr*>(&address_);
        socklen_t size = sizeof(address_);
        constexpr int queue_length = 16;
        ::bind(listener_, address, size);
        ::listen(listener_, queue_length);
        ::getsockname(listener_, address, &size);
        acceptor_ = std::thread([this] { accept_all(); });
    }
    ~endless_server()
    {
        stopping_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        {
            const std::lock_guard lock(sockets_mutex_);
            for (const int socket : sockets_)
                ::shutdown(socket, SHUT_RDWR);
        }
        for (std::thread& connection : connections_)
            connection.join();
        for (const int socket : sockets_)
            ::close(socket);
        ::close(listener_);
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    config::endpoint endpoint() const
    {
        return {address_text, ntohs(address_.sin_port)};
    }
    /// Returns the number of connections that the client has not closed.
    std::size_t open_connections() const { return open_; }
    std::size_t accepted() const { return accepted_; }

private:
    static constexpr const char* address_text = "127.2.2.201";

    void accept_all()
    {
        for (;;) {
            const int socket = ::accept(listener_, nullptr, nullptr);
            if (socket < 0)
                return;
            ++accepted_;
            ++open_;
            const std::lock_guard lock(sockets_mutex_);
            sockets_.push_back(socket);
            connections_.emplace_back([this, socket] {
                serve(socket);
                --open_;
            });
        }
    }

    void serve(int socket)
    {
        char request_part[512];
        if (::recv(socket, request_part, sizeof(request_part), 0) <= 0)
            return;
        std::string_view part = response_.start;
        while (!stopping_ && send_all(socket, part)) {
            std::this_thread::sleep_for(response_.pause);
            part = response_.repeated;
        }
        ::shutdown(socket, SHUT_RDWR);
    }

    static bool send_all(int socket, std::string_view bytes)
    {
        while (!bytes.empty()) {
            const ssize_t sent =
                ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0)
                return false;
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }

    endless_bytes response_;
    int listener_;
    sockaddr_in address_ = {};
    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> accepted_ = 0;
    std::atomic<std::size_t> open_ = 0;
    std::mutex sockets_mutex_;
    std::vector<int> sockets_;
    std::vector<std::thread> connections_;
    std::thread acceptor_;
};

/// Measures by how much the resident memory of this process has grown.
class memory_growth
{
public:
    /// Returns the growth in bytes since construction.
    std::size_t bytes() const
    {
        const std::size_t now = resident_bytes();
        return now > at_start_ ? now - at_start_ : 0;
    }

private:
    static std::size_t resident_bytes()
    {
        std::size_t total_pages = 0;
        std::size_t resident_pages = 0;
        std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
        return resident_pages *
               static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    }

    std::size_t at_start_ = resident_bytes();
};

} // namespace galenarudder::tests
