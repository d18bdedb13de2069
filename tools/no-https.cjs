// Stands in for `https` in the gateway's bundle; see build-platform.js.
'use strict';

/** Created at the start of an HTTP client, also of a plain one. */
function Agent() {}

const request = () => {
  throw new Error('https is not part of this bundle; use a http: address');
};

module.exports = {Agent, request, get: request};
