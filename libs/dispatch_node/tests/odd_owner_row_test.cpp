// An owner's row that another writer has replaced by one that cannot be read.

#include <doctest/doctest.h>

#include "fake_store.hpp"
#include "ownership.hpp"

using namespace tanagerpaddle;
using namespace tanagerpaddle::dispatch;
using namespace tanagerpaddle::dispatch::testing;

// Guards against a sound row that counts as unreadable shortly after the start of the store's
// clock.
TEST_CASE("an owner's row keeps times before the origin of the store's clock") {
    owner_record record{"other", "life", "127.0.0.1:1", epoch_number(40), false, millicores(1'000)};
    record.sent_by = store_instant(milliseconds(-700'000));
    record.earlier_grants_end_by = store_instant(milliseconds(-1));
    const auto decoded = decode_owner(encode(record));
    REQUIRE(decoded.has_value());
    CHECK(decoded->sent_by == record.sent_by);
    CHECK(decoded->earlier_grants_end_by == record.earlier_grants_end_by);
}

// Guards against a new owner whose claims all agents refuse, since they know a higher epoch, or
// that starts runs anew while the earlier owner may still grant leases to them.
TEST_CASE("the owner after a row that cannot be read has the next epoch, and awaits old grants") {
    const std::string sound = encode(
        owner_record{"other", "life", "127.0.0.1:1", epoch_number(40), false, millicores(1'000)});
    const auto with_epoch = [&](const std::string& epoch) {
        auto text = sound;
        return text.replace(text.find(":40"), 3, ":" + epoch);
    };
    for (const auto& odd : {std::string("{"), std::string(100'000, '['),
                            with_epoch("18446744073709551615"), with_epoch("1e999")}) {
        CAPTURE(odd.substr(0, 80));
        eventio::event_loop loop;
        system_clock time;
        fake_store store(loop);
        std::vector<ownership::gain> gains;
        std::vector<milliseconds> waits;
        ownership owner(loop, time, store,
                        {"entry", "life", {"127.0.0.1", 1}, millicores(1'000), {}},
                        {[&](const ownership::gain& gained) {
                             gains.push_back(gained);
                             waits.push_back(std::chrono::duration_cast<milliseconds>(
                                 gained.earlier_grants_end_by - time.now()));
                         },
                         [] {}});
        store.put(owner_table, owner_part, "owner", sound);
        owner.start();
        loop.after(milliseconds(200), [&] { store.put(owner_table, owner_part, "owner", odd); });
        loop.after(milliseconds(1'000), [&] { loop.stop(); });
        loop.run();
        REQUIRE(gains.size() == 1);
        CHECK(gains[0].epoch.value() == 41);
        // The earlier owner may have renewed its ownership until the row was replaced.
        CHECK(waits[0] > lease_timing{}.max_renewal_without_store - milliseconds(1'000));
    }
}
