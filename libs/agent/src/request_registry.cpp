#include "request_registry.hpp"

#include <algorithm>

namespace tanagerpaddle {

registry_verdict request_registry::check(const request_id& id, bool is_idempotent) {
    expire();
    registry_verdict verdict;
    const auto found = records_.find(id);
    if (found == records_.end()) {
        if (options_.refuse_known && !is_idempotent && expired_.contains(hash_bytes(id.value()))) {
            verdict.code = result_code::duplicate_request;
        }
        return verdict;
    }
    const record& item = found->second;
    if (item.is_withdrawn) {
        verdict.code = result_code::cancelled_not_run;
    } else if (options_.refuse_known && !(is_idempotent && item.is_idempotent)) {
        verdict.answer = item.answer;
        verdict.code = item.answer ? result_code::ok : result_code::duplicate_request;
    }
    return verdict;
}

result_code request_registry::accept(const request_id& id, bool is_idempotent, deadline limit) {
    const bool is_known = records_.contains(id);
    if ((!is_known && !make_record_room()) || (!is_idempotent && !make_answer_room())) {
        return result_code::overloaded;
    }
    record& item = records_[id];
    clear_expiry(id, item);
    item.is_idempotent = is_idempotent;
    if (!item.answer) {
        item.limit = is_known ? std::max(item.limit, limit) : limit;
    }
    ++item.waiting;
    return result_code::ok;
}

void request_registry::begin(const request_id& id) {
    const auto found = records_.find(id);
    check_invariant(
        found != records_.end() && found->second.waiting > 0 && !found->second.is_withdrawn,
        "request " + id.value() + " begins without having been accepted");
    record& item = found->second;
    check_invariant(!options_.refuse_known || item.is_idempotent || !item.has_begun,
                    "non-idempotent request " + id.value() + " begins a second time");
    --item.waiting;
    ++item.running;
    item.has_begun = true;
}

void request_registry::finish(const request_id& id, std::optional<stored_answer> answer) {
    const auto found = records_.find(id);
    check_invariant(found != records_.end() && found->second.running > 0,
                    "request " + id.value() + " ends without having begun");
    record& item = found->second;
    --item.running;
    if (answer && !item.is_idempotent && !item.answer) {
        answer_bytes_ += answer->body.size();
        item.answer = std::move(answer);
        answers_.emplace(item.limit.when(), id);
    }
    if (item.waiting == 0 && item.running == 0) {
        set_expiry(id, item, std::max(item.limit.when(), time_.now()) + options_.margin);
    }
}

void request_registry::take_back(const request_id& id) {
    const auto found = records_.find(id);
    check_invariant(found != records_.end() && found->second.running > 0,
                    "request " + id.value() + " is taken back without having begun");
    --found->second.running;
    ++found->second.waiting;
    found->second.has_begun = found->second.is_idempotent;
    drop(id);
}

void request_registry::drop(const request_id& id) {
    const auto found = records_.find(id);
    check_invariant(found != records_.end() && found->second.waiting > 0,
                    "request " + id.value() + " is dropped without having been accepted");
    record& item = found->second;
    --item.waiting;
    if (item.waiting > 0 || item.running > 0) {
        return;
    }
    if (item.has_begun) {
        set_expiry(id, item, std::max(item.limit.when(), time_.now()) + options_.margin);
    } else if (item.is_withdrawn) {
        set_expiry(id, item, time_.now() + options_.early_cancel_time);
    } else {
        records_.erase(found);
    }
}

cancel_outcome request_registry::cancel(const cancel_request& request) {
    expire();
    if (request.incarnation != incarnation_) {
        return cancel_outcome::unknown;
    }
    const auto found = records_.find(request.id);
    if (found == records_.end()) {
        if (expired_.contains(hash_bytes(request.id.value())) || !make_record_room()) {
            return cancel_outcome::unknown;
        }
        record& early = records_[request.id];
        early.is_withdrawn = true;
        set_expiry(request.id, early, time_.now() + options_.early_cancel_time);
        return cancel_outcome::not_run;
    }
    record& item = found->second;
    if (item.running > 0) {
        return cancel_outcome::running;
    }
    if (item.has_begun) {
        return cancel_outcome::done;
    }
    item.is_withdrawn = true;
    return cancel_outcome::not_run;
}

bool request_registry::is_withdrawn(const request_id& id) const {
    const auto found = records_.find(id);
    return found != records_.end() && found->second.is_withdrawn;
}

void request_registry::expire() {
    const instant now = time_.now();
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const request_id id = expiries_.begin()->second;
        forget(id);
    }
}

void request_registry::forget(const request_id& id) {
    const auto found = records_.find(id);
    if (found->second.has_begun && expired_.insert(hash_bytes(id.value())).second) {
        expired_order_.push_back(hash_bytes(id.value()));
        if (expired_order_.size() > options_.most_expired) {
            expired_.erase(expired_order_.front());
            expired_order_.pop_front();
        }
    }
    if (found->second.answer) {
        answers_.erase({found->second.limit.when(), id});
        drop_answer(found->second);
    }
    clear_expiry(id, found->second);
    records_.erase(found);
}

void request_registry::set_expiry(const request_id& id, record& item, instant when) {
    clear_expiry(id, item);
    item.expires_at = when;
    expiries_.emplace(when, id);
}

void request_registry::clear_expiry(const request_id& id, record& item) {
    if (item.expires_at) {
        expiries_.erase({*item.expires_at, id});
        item.expires_at.reset();
    }
}

void request_registry::drop_answer(record& item) {
    answer_bytes_ -= item.answer->body.size();
    item.answer.reset();
}

bool request_registry::make_answer_room() {
    const instant now = time_.now();
    while (answers_.size() >= options_.most_answers ||
           answer_bytes_ >= options_.most_answer_bytes) {
        if (answers_.empty() || answers_.begin()->first > now) {
            return false;
        }
        const auto found = records_.find(answers_.begin()->second);
        answers_.erase(answers_.begin());
        drop_answer(found->second);
    }
    return true;
}

bool request_registry::make_record_room() {
    expire();
    return records_.size() < options_.most_records;
}

}  // namespace tanagerpaddle
