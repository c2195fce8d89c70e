#include <yaml-cpp/eventhandler.h>

#include <algorithm>
#include <sstream>

#include "config_internal.hpp"

namespace tanagerpaddle {

namespace config_detail {

namespace {

constexpr std::size_t max_shown_bytes = 80;

std::string shown(const YAML::Node& node) {
    if (node.IsScalar()) {
        std::string text = node.Scalar().substr(0, max_shown_bytes);
        std::replace_if(
            text.begin(), text.end(), [](unsigned char c) { return c < 0x20 || c >= 0x7f; }, '?');
        return "'" + text + "'";
    }
    return node.IsMap() ? "a map" : node.IsSequence() ? "a list" : "no value";
}

[[noreturn]] void reject_document(const std::string& source, int line, const std::string& value,
                                  const std::string& allowed) {
    throw error(result_code::invalid_configuration, source + ":" + std::to_string(line) + ": " +
                                                        value +
                                                        " is not allowed; allowed: " + allowed);
}

// Rejects what a configuration never contains before a tree is built from it: further documents,
// anchors and aliases, deep nesting and too many values.
class document_guard final : public YAML::EventHandler {
public:
    explicit document_guard(const std::string& source) : source_(source) {}

    void OnDocumentStart(const YAML::Mark& mark) override {
        if (++documents_ > 1) {
            reject_document(source_, mark.line + 1, "a second document", "one document");
        }
    }
    void OnDocumentEnd() override {}
    void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override { check(mark, anchor); }
    void OnAlias(const YAML::Mark& mark, YAML::anchor_t) override { check(mark, 1); }
    void OnScalar(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor,
                  const std::string&) override {
        check(mark, anchor);
    }
    void OnSequenceStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value) override {
        enter(mark, anchor);
    }
    void OnSequenceEnd() override { --depth_; }
    void OnMapStart(const YAML::Mark& mark, const std::string&, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value) override {
        enter(mark, anchor);
    }
    void OnMapEnd() override { --depth_; }

private:
    void check(const YAML::Mark& mark, YAML::anchor_t anchor) {
        if (++values_ > configuration_limits::document_values) {
            reject_document(
                source_, mark.line + 1, "value number " + std::to_string(values_),
                "at most " + std::to_string(configuration_limits::document_values) + " values");
        }
        if (anchor != 0) {
            reject_document(source_, mark.line + 1, "an anchor or alias", "plain values");
        }
    }
    void enter(const YAML::Mark& mark, YAML::anchor_t anchor) {
        check(mark, anchor);
        if (++depth_ > configuration_limits::document_depth) {
            reject_document(
                source_, mark.line + 1, "nesting of " + std::to_string(depth_) + " levels",
                "at most " + std::to_string(configuration_limits::document_depth) + " levels");
        }
    }

    const std::string& source_;
    std::size_t depth_ = 0;
    std::size_t values_ = 0;
    std::size_t documents_ = 0;
};

void check_document(const std::string& text, const std::string& source) {
    std::istringstream stream(text);
    YAML::Parser parser(stream);
    document_guard guard(source);
    while (parser.HandleNextDocument(guard)) {
    }
}

}  // namespace

void reject(const position& where, const YAML::Node& node, const std::string& allowed) {
    throw error(result_code::invalid_configuration,
                where.source + ":" + std::to_string(node.Mark().line + 1) + ": " +
                    (where.path.empty() ? "document" : where.path) + ": " + shown(node) +
                    " is not allowed; allowed: " + allowed);
}

}  // namespace config_detail

using namespace config_detail;

std::string to_yaml(const configuration& declared) {
    YAML::Emitter out;
    write_configuration(out, declared);
    check_invariant(out.good(), "the configuration can be printed: " + out.GetLastError());
    return std::string(out.c_str(), out.size()) + "\n";
}

configuration from_yaml(std::string_view text, const std::string& source_name) {
    if (text.size() > configuration_limits::document_bytes) {
        reject_document(
            source_name, 1, std::to_string(text.size()) + " bytes",
            "at most " + std::to_string(configuration_limits::document_bytes) + " bytes");
    }
    configuration declared;
    try {
        const std::string copy(text);
        check_document(copy, source_name);
        const YAML::Node root = YAML::Load(copy);
        read_configuration({source_name, ""}, root, declared);
    } catch (const YAML::Exception& e) {
        reject_document(source_name, e.mark.line + 1, e.msg, "valid YAML");
    }
    return declared;
}

}  // namespace tanagerpaddle
