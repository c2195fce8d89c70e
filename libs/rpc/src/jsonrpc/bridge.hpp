#pragma once

// The part of the rpc library that uses libjsonrpccpp. Compiles as C++14, so it includes no other
// header of the project.

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace tanagerpaddle {
namespace jsonrpc_bridge {

// An error of a call: `number` is the JSON-RPC error code.
class call_failure : public std::runtime_error {
public:
    call_failure(int error_number, const std::string& message)
        : std::runtime_error(message), number_(error_number) {}
    int number() const noexcept { return number_; }

private:
    int number_;
};

// Takes and gives JSON text. Errors leave it as call_failure.
using text_handler = std::function<std::string(const std::string&)>;

// Dispatches JSON-RPC 2.0 request texts to handlers by method name.
class server {
public:
    server();
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    void add(const std::string& method, text_handler handler);
    std::string handle(const std::string& request) const;

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

// Makes one call over `transport`, which sends a request text and gives the answer's text. Throws
// call_failure with the other side's error; what `transport` throws passes through.
std::string call(const text_handler& transport, const std::string& method,
                 const std::string& params);

}  // namespace jsonrpc_bridge
}  // namespace tanagerpaddle
