#include "pomelohead/discovery/referral.h"

#include <boost/test/unit_test.hpp>

namespace pomelohead::discovery {

BOOST_AUTO_TEST_CASE(encoded_referrals_decode)
{
    for (const referral& hints :
         {referral{}, referral{{"10.1.0.4"}, {}}, referral{{"10.1.0.4", "::1"}, {"10.1.0.5"}}}) {
        reason why;
        BOOST_TEST((decode_referral(encode(hints), why) == hints));
    }
}

BOOST_AUTO_TEST_CASE(malformed_referrals_are_rejected)
{
    const std::string good = encode(referral{{"10.1.0.4"}, {"10.1.0.5"}});
    reason why;
    for (std::size_t cut = 0; cut < good.size(); ++cut) {
        BOOST_TEST(!decode_referral(std::string_view(good).substr(0, cut), why));
        BOOST_TEST((why.m_code == reason_code::malformed));
    }
    for (const std::string& bad : {std::string("\x82\x80\xa0"), std::string("\x82\x81\x01\x80"),
                                   encode(referral{{"host.example"}, {}}), good + good}) {
        BOOST_TEST(!decode_referral(bad, why));
    }
}

} // namespace pomelohead::discovery
