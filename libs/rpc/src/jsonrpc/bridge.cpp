#include "jsonrpc/bridge.hpp"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <exception>
#include <map>

namespace tanagerpaddle {
namespace jsonrpc_bridge {

namespace {

Json::Value parse(const std::string& text) {
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problems;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &problems)) {
            return value;
        }
    } catch (const Json::Exception& failure) {  // nested deeper than the library reads
        problems = failure.what();
    }
    throw call_failure(jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR, problems);
}

std::string write(const Json::Value& value) {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// libjsonrpccpp declares that its client throws its own type only, so that any error of jsoncpp
// within it ends the process: nesting, and values of another type or size than it reads.
void check_answer(const std::string& text) {
    const Json::Value answer = parse(text);
    bool is_sound = answer.isObject() && answer["jsonrpc"].isString() &&
                    (answer["id"].isInt() || answer["id"].isNull());
    if (is_sound && answer.isMember("error")) {
        const Json::Value& failure = answer["error"];
        is_sound = failure.isObject() && failure["code"].isInt() && failure["message"].isString();
    }
    if (!is_sound) {
        throw call_failure(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE,
                           "the answer is no JSON-RPC response");
    }
}

// The response to a request that has no id or whose id cannot be read.
std::string refuse(int number, const std::string& message) {
    Json::Value response;
    response["jsonrpc"] = "2.0";
    response["id"] = Json::Value();
    response["error"]["code"] = number;
    response["error"]["message"] = message;
    return write(response);
}

// Keeps an exception of the transport, since libjsonrpccpp only lets its own type pass.
class transport_connector : public jsonrpc::IClientConnector {
public:
    explicit transport_connector(const text_handler& transport) : transport_(transport) {}

    void SendRPCMessage(const std::string& message,
                        std::string& result) throw(jsonrpc::JsonRpcException) override {
        try {
            result = transport_(message);
            check_answer(result);
        } catch (...) {
            failure_ = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "transport");
        }
    }

    void rethrow_failure() const {
        if (failure_) {
            std::rethrow_exception(failure_);
        }
    }

private:
    const text_handler& transport_;
    std::exception_ptr failure_;
};

}  // namespace

class server::implementation : public jsonrpc::IProcedureInvokationHandler {
public:
    implementation()
        : protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this)) {}

    void add(const std::string& method, text_handler handler) {
        handlers_[method] = std::move(handler);
        protocol_->AddProcedure(
            jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }

    std::string handle(const std::string& request) const {
        std::string answer;
        try {
            parse(request);
            protocol_->HandleRequest(request, answer);
        } catch (const call_failure& failure) {
            answer = refuse(failure.number(), failure.what());
        } catch (const Json::Exception& failure) {
            // libjsonrpccpp lets errors of jsoncpp pass: nesting, and values of another type.
            answer = refuse(jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST, failure.what());
        }
        return answer;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override {
        try {
            output = parse(handlers_.at(procedure.GetProcedureName())(write(input)));
        } catch (const call_failure& failure) {
            throw jsonrpc::JsonRpcException(failure.number(), failure.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

private:
    std::map<std::string, text_handler> handlers_;
    std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

server::server() : implementation_(new implementation()) {}
server::~server() = default;

void server::add(const std::string& method, text_handler handler) {
    implementation_->add(method, std::move(handler));
}

std::string server::handle(const std::string& request) const {
    return implementation_->handle(request);
}

std::string call(const text_handler& transport, const std::string& method,
                 const std::string& params) {
    transport_connector connector(transport);
    try {
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        return write(client.CallMethod(method, parse(params)));
    } catch (const jsonrpc::JsonRpcException& failure) {
        connector.rethrow_failure();
        throw call_failure(failure.GetCode(), failure.GetMessage());
    }
}

}  // namespace jsonrpc_bridge
}  // namespace tanagerpaddle
