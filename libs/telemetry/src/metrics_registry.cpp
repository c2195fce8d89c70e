#include <array>
#include <charconv>

#include "tanagerpaddle/telemetry.hpp"

namespace tanagerpaddle {

namespace {

constexpr std::size_t metric_count = static_cast<std::size_t>(metric::count_of_metrics);
// A label value is part of the key of its series, so its length is bounded too.
constexpr std::size_t max_label_bytes = 256;

const metric_descriptor& declaration(metric id) {
    const auto rows = metric_table();
    const auto index = static_cast<std::size_t>(id);
    check_invariant(index < rows.size(), "metric " + std::to_string(index) + " is declared");
    return rows[index];
}

std::vector<std::string> label_names(const metric_descriptor& row) {
    std::vector<std::string> names;
    for (std::string_view rest = row.labels; !rest.empty();) {
        const auto comma = rest.find(',');
        names.emplace_back(rest.substr(0, comma));
        rest.remove_prefix(comma == std::string_view::npos ? rest.size() : comma + 1);
    }
    return names;
}

void check_use(const metric_descriptor& row, metric_kind kind, const metric_labels& labels) {
    const std::size_t expected = label_names(row).size();
    check_invariant(row.kind == kind, std::string(row.name) + " is used as its declared kind");
    check_invariant(labels.size() == expected, std::string(row.name) + " has " +
                                                   std::to_string(expected) + " labels, not " +
                                                   std::to_string(labels.size()));
}

// Backslash, quote and line feed are escaped; other control characters would break no line.
std::string escaped(std::string_view text) {
    std::string result;
    for (const char c : text) {
        if (c == '\\' || c == '"') {
            result += '\\';
            result += c;
        } else if (c == '\n') {
            result += "\\n";
        } else {
            result += c;
        }
    }
    return result;
}

std::string number_text(double value) {
    std::array<char, 32> buffer{};
    const auto end =
        std::to_chars(buffer.begin(), buffer.end(), value, std::chars_format::general, 9);
    return {buffer.begin(), end.ptr};
}

// {service="a",le="1"}, or nothing without labels.
std::string label_text(const std::vector<std::string>& names, const metric_labels& values,
                       const std::string& upper_bound = {}) {
    std::string text;
    for (std::size_t i = 0; i < names.size(); ++i) {
        text += (text.empty() ? "" : ",") + names[i] + "=\"" + escaped(values[i]) + "\"";
    }
    if (!upper_bound.empty()) {
        text += (text.empty() ? "le=\"" : ",le=\"") + upper_bound + "\"";
    }
    return text.empty() ? text : "{" + text + "}";
}

// All series of one metric. std::map keeps addresses stable and the order of the text the same.
template <class Series>
using family = std::map<metric_labels, Series>;

template <class Series>
struct families {
    std::array<family<Series>, metric_count> all;
};

void print_series(std::string& text, std::string_view name, const std::vector<std::string>& names,
                  const metric_labels& labels, const latency_histogram& series) {
    std::uint64_t total = 0;
    const std::string base(name);
    for (const auto& bucket : series.buckets(total)) {
        text += base + "_bucket" + label_text(names, labels, number_text(bucket.upper_bound)) +
                " " + std::to_string(bucket.cumulative_count) + "\n";
    }
    text +=
        base + "_bucket" + label_text(names, labels, "+Inf") + " " + std::to_string(total) + "\n";
    text += base + "_sum" + label_text(names, labels) + " " + number_text(series.sum()) + "\n";
    text += base + "_count" + label_text(names, labels) + " " + std::to_string(total) + "\n";
}

template <class Series>
void print_series(std::string& text, std::string_view name, const std::vector<std::string>& names,
                  const metric_labels& labels, const Series& series) {
    text +=
        std::string(name) + label_text(names, labels) + " " + std::to_string(series.value()) + "\n";
}

template <class Series>
void print_family(std::string& text, const metric_descriptor& row, const family<Series>& series) {
    const auto names = label_names(row);
    for (const auto& [labels, item] : series) {
        print_series(text, row.name, names, labels, item);
    }
}

}  // namespace

struct metrics_registry::state {
    mutable std::mutex mutex;
    families<counter> counters;
    families<gauge> gauges;
    families<latency_histogram> latencies;

    template <class Series>
    Series& find(families<Series>& kind, metric id, const metric_labels& labels) {
        auto& series = kind.all.at(static_cast<std::size_t>(id));
        metric_labels key;
        for (const auto& label : labels) {
            key.push_back(label.substr(0, max_label_bytes));
        }
        const std::lock_guard lock(mutex);
        if (const auto found = series.find(key); found != series.end()) {
            return found->second;
        }
        if (series.size() >= max_series_per_metric) {
            const std::string name(declaration(id).name);
            auto& rejected =
                counters.all.at(static_cast<std::size_t>(metric::metric_series_rejected));
            rejected[{name}].add();
            key.assign(labels.size(), "other");
        }
        return series[key];
    }
};

metrics_registry::metrics_registry() : state_(std::make_unique<state>()) {}
metrics_registry::~metrics_registry() = default;

counter& metrics_registry::counter_of(metric id, const metric_labels& labels) {
    check_use(declaration(id), metric_kind::counter, labels);
    return state_->find(state_->counters, id, labels);
}

gauge& metrics_registry::gauge_of(metric id, const metric_labels& labels) {
    check_use(declaration(id), metric_kind::gauge, labels);
    return state_->find(state_->gauges, id, labels);
}

latency_histogram& metrics_registry::latency_of(metric id, const metric_labels& labels) {
    check_use(declaration(id), metric_kind::latency, labels);
    return state_->find(state_->latencies, id, labels);
}

std::string metrics_registry::prometheus_text() const {
    std::string text;
    const std::lock_guard lock(state_->mutex);
    for (const auto& row : metric_table()) {
        const auto index = static_cast<std::size_t>(row.id);
        const std::string_view kind = row.kind == metric_kind::counter ? "counter"
                                      : row.kind == metric_kind::gauge ? "gauge"
                                                                       : "histogram";
        const std::string name(row.name);
        text.append("# HELP ").append(name).append(" ").append(escaped(row.help)).append("\n");
        text.append("# TYPE ").append(name).append(" ").append(kind).append("\n");
        print_family(text, row, state_->counters.all.at(index));
        print_family(text, row, state_->gauges.all.at(index));
        print_family(text, row, state_->latencies.all.at(index));
    }
    return text;
}

metrics_registry& metrics() {
    // Never destroyed: other static objects may count while the process exits.
    static auto* const instance = new metrics_registry;
    return *instance;
}

}  // namespace tanagerpaddle
