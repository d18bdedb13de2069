import * as chai from 'chai';
import * as fakes from '@amaranthknot/fakes';
import * as ports from '@amaranthknot/ports';
import * as serviceCheck from '../src/service-check.js';

describe('the check of a plain service', () => {
  it('finds that a service lives, sends it nothing, and finds its end', async () => {
    const service = new fakes.ScriptedUpstream(() => undefined);
    await service.start();
    const {address} = service;
    const check = serviceCheck.createCheckService(ports.systemClock);
    chai.expect(await check(address)).equal('accepted');
    chai.expect(service.connections).equal(1);
    chai.expect(service.requests).length(0);
    service.exit();
    chai.expect(await check(address)).equal('refused');
  });
});
