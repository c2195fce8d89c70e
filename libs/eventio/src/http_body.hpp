#pragma once

// Body of a parsed HTTP message.

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <string>

namespace tanagerpaddle::eventio {

// As string_body of Beast, but memory follows the bytes that have arrived: string_body reserves the
// announced length at once.
struct arriving_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*header*/, value_type& body)
            : body_(body) {}

        void init(const boost::optional<std::uint64_t>& /*announced*/,
                  boost::system::error_code& failure) {
            failure = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& failure) {
            failure = {};
            std::size_t taken = 0;
            for (auto at = boost::asio::buffer_sequence_begin(buffers);
                 at != boost::asio::buffer_sequence_end(buffers); ++at) {
                const boost::asio::const_buffer part = *at;
                body_.append(static_cast<const char*>(part.data()), part.size());
                taken += part.size();
            }
            return taken;
        }

        void finish(boost::system::error_code& failure) { failure = {}; }

    private:
        value_type& body_;
    };
};

}  // namespace tanagerpaddle::eventio
